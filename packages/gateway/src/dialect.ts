import type { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Outcome } from '@burdockrail/common/outcome.js';
import type { UpstreamRecord } from '@burdockrail/protocol/protocolDirectory.js';
import type { RouteConfiguration } from '@burdockrail/routing/routeConfiguration.js';
import type { IncomingHttpHeaders } from 'node:http';

/** Headers of an HTTP message; names are in lower case. */
export type HeaderMap = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Values that a caller sends in request headers. */
export interface CallerHeaders {
  /** Id of one attempt of the caller; `null` if missing. */
  readonly requestId: string | null;
  /** Time that the caller waits for the answer, in milliseconds. */
  readonly deadlineMilliseconds: number | null;
  readonly key: string | null;
  readonly model: string;
  readonly promptTokens: number;
  /** Maximum number of answer tokens; 0 if the caller states none. */
  readonly answerTokens: number;
  /**
   * Ids of the prompt parts that other requests may share, in order; the last part of a prompt
   * belongs to its request alone and is left out.
   */
  readonly sharedParts: readonly string[];
  /** Number of answer tokens that the caller expects. */
  readonly answerEstimate: number | null;
}

/** Values that an entry adds to a request in one attempt. */
export interface AttemptHeaders {
  readonly deadlineMilliseconds: number;
  /** Upstream that the request is for; any other refuses it. */
  readonly upstreamId: string;
  readonly team: string | null;
  /** Required version of weights; `null` for any. */
  readonly version: number | null;
  /** Last event that the caller has received; `null` keeps the caller's own header. */
  readonly lastEventId: string | null;
}

/** Values that an upstream sends in answer headers. */
export interface AnswerHeaders {
  readonly requestId: string | null;
  /** True when the upstream states that it did not execute the request. */
  readonly notRun: boolean;
  /** True when the answer is signed by an upstream. */
  readonly signed: boolean;
  readonly load: { readonly running: number; readonly waiting: number } | null;
  /**
   * Requests per second that the upstream takes from all entries together until an answer names
   * no limit; `null` if this one names none.
   */
  readonly requestsPerSecond: number | null;
  /** True when the upstream states that it leaves and wants no further requests. */
  readonly leaving: boolean;
  /**
   * Time for which the upstream wants no requests from this entry if it turned the request away, in
   * milliseconds; `null` if the answer states none.
   */
  readonly retryAfterMilliseconds: number | null;
}

/** A request of an upstream or operator to a control process. */
export type ControlCall =
  | { readonly kind: 'heartbeat'; readonly id: string }
  | { readonly kind: 'leave'; readonly id: string }
  | { readonly kind: 'putConfiguration' }
  | { readonly kind: 'getConfiguration' }
  | { readonly kind: 'nameWeights' };

/** Weights named by an operator. */
export interface ModelVersion {
  readonly model: string;
  readonly version: number;
}

/** Message of an upstream that leaves. */
export interface Departure {
  /** Start of the leaving incarnation in Unix milliseconds; `null` if not stated. */
  readonly startedAt: number | null;
}

/** Status that an engine reports about itself. */
export interface EngineReport {
  /** Start of the engine in Unix milliseconds; 0 if not reported. */
  readonly startedAt: number;
  readonly models: UpstreamRecord['models'];
  /** True while an order is in progress. */
  readonly busy: boolean;
  /** Number of orders that the engine has accepted. */
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

/** An HTTP request to an engine or origin. */
export interface WireRequest {
  readonly method: 'GET' | 'PUT' | 'POST';
  readonly path: string;
  readonly body: string | null;
}

/** Requests of an agent to its engine and to the origin of weights. */
export interface WeightsDialect {
  readonly report: WireRequest;
  decodeReport(body: string): EngineReport | null;
  manifest(model: string, version: number): WireRequest;
  decodeManifest(body: string): WeightsManifest | null;
  originChunk(model: string, version: number, chunk: number): WireRequest;
  /** The body is left out; whoever sends the request adds the bytes of the chunk. */
  stageWrite(model: string, chunk: number): WireRequest;
  stageRead(model: string, chunk: number): WireRequest;
  /** Order to load the staged chunks. */
  load(order: ModelVersion & { readonly orders: number; readonly fence: number }): WireRequest;
}

/**
 * HTTP headers, paths and bodies exchanged with callers, upstreams, operators and engines.
 *
 * @remarks
 * A dialect only encodes and decodes messages; it contains no decisions.
 */
export interface Dialect {
  /** Lower-case names of headers that the entry sets or removes itself. */
  readonly ownHeaders: ReadonlySet<string>;
  readonly lastEventIdHeader: string;
  readCaller(headers: IncomingHttpHeaders): CallerHeaders;
  attemptHeaders(attempt: AttemptHeaders): readonly (readonly [string, string])[];
  readAnswer(headers: HeaderMap): AnswerHeaders;
  readonly statusPath: string;
  controlCall(method: string, path: string): ControlCall | null;
  /** `null` for a heartbeat without a usable upstream. */
  decodeHeartbeat(id: string, body: string): UpstreamRecord | null;
  /** `null` for a message that no upstream can have sent. */
  decodeLeave(body: string): Departure | null;
  decodeConfiguration(text: string): Outcome<RouteConfiguration>;
  decodeModelVersion(body: string): ModelVersion | null;
  errorBody(code: ResultCode, text: string): string;
  readonly weights: WeightsDialect;
}
