import type { ResultCode, RunState } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type {
  ServiceConfiguration,
  TeamConfiguration,
} from '@burdockrail/fleet/fleetConfiguration.js';
import type { RequestTraits } from '@burdockrail/limits/quarantineState.js';
import type { RequestCaller } from './requestCaller.js';

/** A request whose head and body were received. */
export interface AcceptedRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path and query sent to the upstream. */
  readonly path: string;
  /** Headers with names in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly serviceName: string;
  /** Prompt text, whose prefixes engines cache; empty for plain services. */
  readonly prompt: string;
  readonly arrivedAt: Milliseconds;
  readonly deadlineAt: Milliseconds;
  readonly caller: RequestCaller;
}

/** An accepted request with its team, service and repeatability. */
export interface IdentifiedRequest extends AcceptedRequest {
  readonly team: TeamConfiguration;
  readonly service: ServiceConfiguration;
  readonly priority: number;
  /** False if the request may run at most once. */
  readonly repeatable: boolean;
  /** Key from the caller; only present for non-repeatable requests. */
  readonly idempotencyKey?: string;
  /** Digest of the weights that must give the answer. */
  readonly versionDigest?: string;
  /** Digest of method, path and body; does not depend on the sender. */
  readonly contentDigest: string;
  /** What the request has in common with others, for the quarantine. */
  readonly traits: RequestTraits;
  /** Digests of the prompt's prefixes, shortest first. */
  readonly prefixes: readonly string[];
}

/** A refusal by the entry: the caller gets no upstream's answer. */
export interface RefusedResult {
  readonly kind: 'refused';
  readonly code: ResultCode;
  readonly run: RunState;
  readonly detail?: string;
  readonly retryAfterSeconds?: number;
}

/** An upstream's answer was sent to the caller, complete or with a detectable abort. */
export interface RelayedResult {
  readonly kind: 'relayed';
  readonly code: ResultCode;
  readonly run: RunState;
}

/** How a request ended. */
export type RequestResult = RefusedResult | RelayedResult;

/** Creates a refusal. */
export function refusal(
  code: ResultCode,
  run: RunState,
  details: Partial<Pick<RefusedResult, 'detail' | 'retryAfterSeconds'>> = {},
): RefusedResult {
  return { kind: 'refused', code, run, ...details };
}

/**
 * Returns the run state of a request before any attempt: with an idempotency key an earlier request
 * may have run, without one nothing has.
 */
export function initialRunState(request: IdentifiedRequest): RunState {
  return request.idempotencyKey === undefined ? 'not-run' : 'unknown';
}
