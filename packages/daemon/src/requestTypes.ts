import type { ResultCode, RunState } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type {
  ServiceConfiguration,
  TeamConfiguration,
} from '@burdockrail/fleet/fleetConfiguration.js';
import type { RequestCaller } from './requestCaller.js';

/** A request whose head and body have arrived. */
export interface AcceptedRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path and query as the upstream gets them. */
  readonly path: string;
  /** Headers with names in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly serviceName: string;
  /** Text whose prefixes engines cache; empty for plain services. */
  readonly prompt: string;
  readonly arrivedAt: Milliseconds;
  readonly deadlineAt: Milliseconds;
  readonly caller: RequestCaller;
}

/** An accepted request whose team, service and kind are known. */
export interface IdentifiedRequest extends AcceptedRequest {
  readonly team: TeamConfiguration;
  readonly service: ServiceConfiguration;
  readonly priority: number;
  /** False when the request may run at most once. */
  readonly repeatable: boolean;
  /** Key that the caller gave; only non-repeatable requests have one. */
  readonly idempotencyKey?: string;
  /** Digest of the weights that the answer must come from. */
  readonly versionDigest?: string;
  /** Digest of method, path and body: equal for equal requests, whoever sends them. */
  readonly contentDigest: string;
  /** Prefix digests of the prompt, the shortest first. */
  readonly prefixes: readonly string[];
}

/** An answer of the system's own: the request was not answered by an upstream. */
export interface RefusedResult {
  readonly kind: 'refused';
  readonly code: ResultCode;
  readonly run: RunState;
  readonly detail?: string;
  readonly retryAfterSeconds?: number;
}

/** The answer of an upstream has been sent to the caller, whole or visibly cut. */
export interface RelayedResult {
  readonly kind: 'relayed';
  readonly code: ResultCode;
  readonly run: RunState;
}

/** How a request ended. */
export type RequestResult = RefusedResult | RelayedResult;

/** Creates an answer of the system's own. */
export function refused(
  code: ResultCode,
  run: RunState,
  more: Partial<Pick<RefusedResult, 'detail' | 'retryAfterSeconds'>> = {},
): RefusedResult {
  return { kind: 'refused', code, run, ...more };
}

/**
 * What is known of a request's run before anything was sent for it: without a key of the caller it
 * did not run; with one an earlier sending may have.
 */
export function runBeforeSending(request: IdentifiedRequest): RunState {
  return request.idempotencyKey === undefined ? 'not-run' : 'unknown';
}
