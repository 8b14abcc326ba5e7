import type { IncomingMessage } from 'node:http';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { RequestTraits } from '@burdockrail/limits/quarantineState.js';
import { isConnectionHeader, type CallerAnswer } from './callerAnswer.js';
import type { AttemptHeaders, CallerHeaders, Dialect } from './dialect.js';
import type { AdmittedRequest } from './entryAdmission.js';
import type { OutgoingRequest } from './upstreamConnections.js';

/** A caller's admitted request with its state in the entry. */
export interface EntryRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  /** Alternating names and values, without connection headers and those that the entry sets. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
  readonly caller: CallerHeaders;
  readonly admitted: AdmittedRequest;
  readonly arrivedAt: Milliseconds;
  /** Time that the caller has spent on earlier attempts, in milliseconds. */
  readonly elapsedMilliseconds: Milliseconds;
  /** What the request has in common with others, for the quarantine. */
  readonly traits: RequestTraits;
  readonly answer: CallerAnswer;
  /** Aborts when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
  readonly trace: RequestTrace;
}

/** Data collected for the `requestEnded` log line. */
export interface RequestTrace {
  attempts: number;
  upstreams: string[];
  /** Time from arrival to the first byte of the answer, in milliseconds. */
  firstByteMilliseconds: number | null;
  /** Longest time between two events that were forwarded, in milliseconds. */
  longestPauseMilliseconds: number;
  cause: string;
}

/** Headers that are not forwarded to upstreams, in addition to those of the dialect. */
const removedHeaders: ReadonlySet<string> = new Set(['expect', 'content-length', 'http2-settings']);

/** Returns the headers of a request that are forwarded to upstreams. */
export function forwardedHeaders(request: IncomingMessage, dialect: Dialect): readonly string[] {
  const { rawHeaders } = request;
  const connectionOptions = (request.headers.connection ?? '')
    .split(',')
    .map((name) => name.trim().toLowerCase());
  const forwarded: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lowerCaseName = name.toLowerCase();
    if (isConnectionHeader(lowerCaseName) || removedHeaders.has(lowerCaseName)) continue;
    if (dialect.ownHeaders.has(lowerCaseName) || connectionOptions.includes(lowerCaseName))
      continue;
    forwarded.push(name, rawHeaders[index + 1] ?? '');
  }
  return forwarded;
}

/** Builds the request that is sent to an upstream in one attempt. */
export function outgoingRequest(
  request: EntryRequest,
  attempt: AttemptHeaders,
  dialect: Dialect,
): OutgoingRequest {
  const { method, target, body } = request;
  const added = dialect.attemptHeaders(attempt).flat();
  const headers =
    attempt.lastEventId === null ? request.headers : headersWithoutEventId(request, dialect);
  return { method, path: target, headers: [...headers, ...added], body };
}

function headersWithoutEventId(request: EntryRequest, dialect: Dialect): readonly string[] {
  const { headers } = request;
  return headers.filter((_text, index) => {
    const name = headers[index - (index % 2)] ?? '';
    return name.toLowerCase() !== dialect.lastEventIdHeader;
  });
}
