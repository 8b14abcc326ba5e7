import type { IncomingMessage } from 'node:http';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { isConnectionHeader, type CallerAnswer } from './callerAnswer.js';
import type { AttemptHeaders, CallerHeaders, Dialect } from './dialect.js';
import type { AdmittedRequest } from './entryAdmission.js';
import type { OutgoingRequest } from './upstreamConnections.js';

/** A caller's request with everything that its way through the entry needs. */
export interface EntryRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  /** Names and values in turn, without those that concern one connection or that the entry sets. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
  readonly caller: CallerHeaders;
  readonly admitted: AdmittedRequest;
  readonly arrivedAt: Milliseconds;
  /** Time that the caller has spent on former attempts, in milliseconds. */
  readonly elapsedBefore: Milliseconds;
  /** Digest of what an upstream would run. */
  readonly content: string;
  readonly answer: CallerAnswer;
  /** Aborted when the caller has left or the deadline has passed. */
  readonly signal: AbortSignal;
  /** What the entry's log says of the request in the end. */
  readonly trace: RequestTrace;
}

/** Facts about a request that the final log line tells. */
export interface RequestTrace {
  attempts: number;
  upstreams: string[];
  /** Time from the arrival to the first byte of the answer, in milliseconds. */
  firstMilliseconds: number | null;
  cause: string;
}

/** Headers that the entry does not pass on to upstreams, besides those of the dialect. */
const droppedHeaders: ReadonlySet<string> = new Set(['expect', 'content-length', 'http2-settings']);

/** Headers of a request as they are passed on. */
export function forwardedHeaders(request: IncomingMessage, dialect: Dialect): readonly string[] {
  const { rawHeaders } = request;
  const named = (request.headers.connection ?? '')
    .split(',')
    .map((name) => name.trim().toLowerCase());
  const kept: string[] = [];
  for (let place = 0; place + 1 < rawHeaders.length; place += 2) {
    const name = rawHeaders[place] ?? '';
    const lower = name.toLowerCase();
    if (isConnectionHeader(lower) || droppedHeaders.has(lower)) continue;
    if (dialect.ownHeaders.has(lower) || named.includes(lower)) continue;
    kept.push(name, rawHeaders[place + 1] ?? '');
  }
  return kept;
}

/** The request as it is sent in one attempt. */
export function outgoingRequest(
  request: EntryRequest,
  attempt: AttemptHeaders,
  dialect: Dialect,
): OutgoingRequest {
  const { method, target, body } = request;
  const added = dialect.attemptHeaders(attempt).flat();
  const own = attempt.lastEventId === null ? request.headers : withoutEventId(request, dialect);
  return { method, path: target, headers: [...own, ...added], body };
}

function withoutEventId(request: EntryRequest, dialect: Dialect): readonly string[] {
  const { headers } = request;
  return headers.filter((_text, place) => {
    const name = headers[place - (place % 2)] ?? '';
    return name.toLowerCase() !== dialect.lastEventIdHeader;
  });
}
