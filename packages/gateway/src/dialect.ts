import type { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Outcome } from '@burdockrail/common/outcome.js';
import type { UpstreamRecord } from '@burdockrail/protocol/protocolDirectory.js';
import type { RouteConfiguration } from '@burdockrail/routing/routeConfiguration.js';
import type { IncomingHttpHeaders } from 'node:http';

/** Headers of an HTTP message, names in lower case. */
export type HeaderMap = Readonly<Record<string, string | readonly string[] | undefined>>;

/** What a caller says in the headers of a request. */
export interface CallerHeaders {
  /** Names one attempt of the caller; `null` when it is missing. */
  readonly requestId: string | null;
  /** Time for which the caller waits, in milliseconds. */
  readonly deadlineMilliseconds: number | null;
  readonly key: string | null;
  readonly model: string;
  readonly promptTokens: number;
  /** Most tokens of the answer. */
  readonly answerTokens: number;
  /** The caller's estimate of the answer's tokens. */
  readonly answerEstimate: number | null;
}

/** What an entry adds to a request for one upstream. */
export interface AttemptHeaders {
  readonly deadlineMilliseconds: number;
  /** Upstream that must answer; any other refuses. */
  readonly upstreamId: string;
  readonly team: string | null;
  /** Version of weights that must answer; `null` for any. */
  readonly version: number | null;
  /** Last event that the caller has; `null` leaves the caller's own word. */
  readonly lastEventId: string | null;
}

/** What an upstream says in the headers of an answer. */
export interface AnswerHeaders {
  readonly requestId: string | null;
  /** True when the upstream says that it did not run the request. */
  readonly notRun: boolean;
  /** True when the answer is signed by an upstream. */
  readonly signed: boolean;
  readonly load: { readonly running: number; readonly waiting: number } | null;
}

/** A call of an upstream or operator to a control process. */
export type ControlCall =
  | { readonly kind: 'heartbeat'; readonly id: string }
  | { readonly kind: 'leave'; readonly id: string }
  | { readonly kind: 'putConfiguration' }
  | { readonly kind: 'getConfiguration' }
  | { readonly kind: 'nameWeights' };

/** Weights named by an operator. */
export interface WeightsName {
  readonly model: string;
  readonly version: number;
}

/** An engine's own view of itself. */
export interface EngineReport {
  /** Start of the engine in Unix milliseconds; 0 where it does not say. */
  readonly startedAt: number;
  readonly models: UpstreamRecord['models'];
  /** True while an order is being carried out. */
  readonly busy: boolean;
  /** Orders that the engine has accepted. */
  readonly orders: number;
  readonly running: number;
  readonly waiting: number;
}

/** Digests of a version's chunks. */
export interface WeightsManifest {
  readonly layers: number;
  /** Hexadecimal SHA-256 of each chunk. */
  readonly digests: readonly string[];
}

/** A request of HTTP to an engine or origin. */
export interface WireRequest {
  readonly method: 'GET' | 'PUT' | 'POST';
  readonly path: string;
  readonly body: string | null;
}

/** Calls of an agent to its engine and of agents to the origin of weights. */
export interface WeightsDialect {
  readonly report: WireRequest;
  decodeReport(body: string): EngineReport | null;
  manifest(model: string, version: number): WireRequest;
  decodeManifest(body: string): WeightsManifest | null;
  originChunk(model: string, version: number, chunk: number): WireRequest;
  /** The body, the chunk's bytes, is the caller's to add. */
  stageWrite(model: string, chunk: number): WireRequest;
  stageRead(model: string, chunk: number): WireRequest;
  /** Order to serve what is staged. */
  load(order: WeightsName & { readonly orders: number; readonly fence: number }): WireRequest;
}

/**
 * How callers, upstreams and operators speak to the gateway.
 *
 * @remarks
 * A dialect translates between messages and types; it decides nothing.
 */
export interface Dialect {
  /** Names of headers that the entry sets or removes itself, in lower case. */
  readonly ownHeaders: ReadonlySet<string>;
  readonly lastEventIdHeader: string;
  readCaller(headers: IncomingHttpHeaders): CallerHeaders;
  attemptHeaders(attempt: AttemptHeaders): readonly (readonly [string, string])[];
  readAnswer(headers: HeaderMap): AnswerHeaders;
  readonly statusPath: string;
  controlCall(method: string, path: string): ControlCall | null;
  /** `null` for a heartbeat that names no upstream to use. */
  decodeHeartbeat(id: string, body: string): UpstreamRecord | null;
  /** Start of the incarnation that leaves, if the message says it. */
  decodeLeave(body: string): number | null;
  decodeConfiguration(text: string): Outcome<RouteConfiguration>;
  decodeWeightsName(body: string): WeightsName | null;
  errorBody(code: ResultCode, text: string): string;
  readonly weights: WeightsDialect;
}
