import { createByteCollector } from '@burdockrail/common/byteCollector.js';
import { createEventSplitter } from '@burdockrail/common/eventSplitter.js';
import { isFinalStatus } from '@burdockrail/common/httpStatus.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { AttemptItem, AttemptStart } from '@burdockrail/protocol/protocolAttempt.js';
import type { Dispatcher } from 'undici';
import { AttemptError, connectionLostError, sendError } from './attemptFailure.js';
import {
  firstHeaderValue,
  namedLimit,
  requestedRest,
  saysLeaving,
} from './attemptAnswerHeaders.js';
import { chooseEventAction, parseEvent, type StreamedEvent } from './attemptEvents.js';
import {
  WEIGHTS_DIGEST_HEADER,
  REQUEST_ID_HEADER,
  endToEndHeaders,
  type AttemptUpstream,
} from './attemptUpstream.js';
import type { UpstreamDeparture } from './upstreamDeparture.js';

/** Maximum number of resumptions of a stream before its attempt fails. */
const MAXIMUM_RESUMES = 3;

/** Largest answer that is buffered completely before its head is forwarded, in bytes. */
const MAXIMUM_BUFFERED_BYTES = 256 * 1024;

/** Maximum size of one event, in bytes. */
const MAXIMUM_EVENT_BYTES = 256 * 1024;

/** Lowest HTTP status of a server error. */
const SERVER_ERROR_STATUS = 500;

/** HTTP statuses of answers without a body. */
const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/** Returns whether an answer from the weights with this digest is accepted. */
export type DigestCheck = (digest: string) => boolean;

type Response = Dispatcher.ResponseData;

function isEventStream(response: Response): boolean {
  return firstHeaderValue(response, 'content-type')?.startsWith('text/event-stream') ?? false;
}

/**
 * Returns whether a truncated body would be reported as an error.
 *
 * @remarks
 * On a connection that is not kept alive, the HTTP library treats the end of the connection as the
 * end of the body, so truncation of a chunked body goes unnoticed there.
 */
function isTruncationDetectable(response: Response): boolean {
  if (statusesWithoutBody.has(response.statusCode)) return true;
  if (firstHeaderValue(response, 'content-length') !== undefined) return true;
  const isChunked = firstHeaderValue(response, 'transfer-encoding')?.includes('chunked') ?? false;
  return isChunked && firstHeaderValue(response, 'connection')?.toLowerCase() !== 'close';
}

function checkStatus({ statusCode }: Response): void {
  if (isFinalStatus(statusCode)) return;
  const detail = `the upstream answered with status ${statusCode}, which is not one of HTTP`;
  throw new AttemptError(ResultCode.UpstreamFailed, 'unknown', detail);
}

function checkAttemptId(start: AttemptStart, response: Response): void {
  const requestId = firstHeaderValue(response, REQUEST_ID_HEADER);
  if (requestId === start.attemptId) return;
  if (requestId === undefined && response.statusCode >= SERVER_ERROR_STATUS) {
    const detail = `the upstream answered with status ${response.statusCode}`;
    throw new AttemptError(ResultCode.UpstreamFailed, 'unknown', detail);
  }
  const detail = "the answer does not carry the attempt's id";
  throw new AttemptError(ResultCode.AnswerMismatched, 'unknown', detail);
}

function checkDigest(start: AttemptStart, response: Response, allows: DigestCheck): void {
  const digest = firstHeaderValue(response, WEIGHTS_DIGEST_HEADER);
  if (digest === undefined) return;
  const isRequestedVersion = start.versionDigest === undefined || start.versionDigest === digest;
  if (isRequestedVersion && allows(digest)) return;
  const detail = `the upstream answered from unexpected weights with the digest ${digest}`;
  throw new AttemptError(ResultCode.VersionUnavailable, 'unknown', detail);
}

function headItem(start: AttemptStart, response: Response): AttemptItem {
  const versionDigest = firstHeaderValue(response, WEIGHTS_DIGEST_HEADER);
  return {
    kind: 'head',
    attemptId: start.attemptId,
    status: response.statusCode,
    headers: endToEndHeaders(response.headers),
    ...(versionDigest === undefined ? {} : { versionDigest }),
  };
}

/** Options of {@link readUpstreamAnswer}. */
export interface UpstreamAnswerOptions {
  readonly upstream: AttemptUpstream;
  readonly allowsDigest: DigestCheck;
  /** Receives the limit that each answer names, in requests per second; `null` without one. */
  readonly onLimit: (requestsPerSecond: number | null) => void;
  readonly departure: Pick<UpstreamDeparture, 'incarnation' | 'record'>;
  /** Receives the time for which the upstream wants no attempts, in milliseconds. */
  readonly onRest: (restMilliseconds: number) => void;
  /** Whether the upstream wants no attempts at present. */
  readonly isResting: () => boolean;
}

/** Reports what an answer says of the upstream beside its outcome. */
function reportUpstreamState(
  { departure, onRest }: UpstreamAnswerOptions,
  incarnation: number,
  attemptId: string,
  response: Response,
): void {
  const restMilliseconds = requestedRest(attemptId, response);
  if (restMilliseconds !== null) onRest(restMilliseconds);
  if (saysLeaving(attemptId, response)) departure.record(incarnation);
}

async function* readBody(
  options: UpstreamAnswerOptions,
  response: Response,
): AsyncGenerator<Uint8Array, void> {
  try {
    for await (const bytes of response.body as AsyncIterable<Uint8Array>) yield bytes;
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    const connectionError = await connectionLostError(detail, options.upstream.isReachable);
    throw new AttemptError(
      ResultCode.AnswerIncomplete,
      'unknown',
      detail,
      connectionError.upstreamCrashed,
    );
  }
  if (isTruncationDetectable(response)) return;
  throw new AttemptError(
    ResultCode.AnswerIncomplete,
    'unknown',
    'cannot determine whether the body is complete',
  );
}

/** Returns whether a body is short enough to be buffered before its head is forwarded. */
function isBufferable(response: Response): boolean {
  const length = Number(firstHeaderValue(response, 'content-length'));
  return length <= MAXIMUM_BUFFERED_BYTES;
}

/**
 * Reads an answer that is not an event stream.
 *
 * @remarks
 * Once the head has been sent to the caller, a truncated answer cannot be replaced by that of
 * another attempt, so a small answer is forwarded only when it is complete.
 */
async function* readPlainAnswer(
  options: UpstreamAnswerOptions,
  start: AttemptStart,
  response: Response,
): AsyncGenerator<AttemptItem, void> {
  const { attemptId } = start;
  if (!isBufferable(response)) {
    yield headItem(start, response);
    for await (const bytes of readBody(options, response)) yield { kind: 'data', attemptId, bytes };
    return;
  }
  const body = createByteCollector({ maximumBytes: MAXIMUM_BUFFERED_BYTES });
  for await (const bytes of readBody(options, response))
    if (!body.add(bytes)) throw tooLargeError('the body');
  yield headItem(start, response);
  if (body.size > 0) yield { kind: 'data', attemptId, bytes: body.take() };
}

function tooLargeError(what: string): AttemptError {
  const detail = `${what} exceeds the size limit`;
  return new AttemptError(ResultCode.AnswerIncomplete, 'unknown', detail);
}

/** Position in an event stream, kept across resumptions. */
interface StreamPosition {
  lastEventId: number;
  isComplete: boolean;
}

async function* readEvents(
  start: AttemptStart,
  response: Response,
  position: StreamPosition,
  isResumed: boolean,
): AsyncGenerator<AttemptItem, void> {
  const splitter = createEventSplitter({ maximumBytes: MAXIMUM_EVENT_BYTES });
  try {
    for await (const bytes of response.body as AsyncIterable<Uint8Array>) {
      const events: StreamedEvent[] = [];
      const isWithinLimits = splitter.push(bytes, (event) => {
        events.push(parseEvent(event));
        return true;
      });
      for (const event of events) {
        const action = chooseEventAction(event, position.lastEventId, isResumed);
        if (action === 'drop') continue;
        if (action === 'gap') return;
        yield { kind: 'data', attemptId: start.attemptId, bytes: event.bytes };
        position.lastEventId = event.id ?? position.lastEventId;
        position.isComplete = event.isLast;
        if (event.isLast) return;
      }
      if (!isWithinLimits) throw tooLargeError('an event');
    }
  } catch (error) {
    if (error instanceof AttemptError) throw error;
    // After a broken connection the calling function resumes the stream.
  }
}

async function resumeStream(
  options: UpstreamAnswerOptions,
  start: AttemptStart,
  firstResponse: Response,
  position: StreamPosition,
  signal: AbortSignal,
): Promise<Response> {
  if (position.lastEventId < 0) {
    throw await connectionLostError('the stream was interrupted before its first event', () =>
      options.upstream.isReachable(),
    );
  }
  const { incarnation } = options.departure;
  if (options.isResting()) {
    const detail = 'the stream was interrupted and the upstream rests';
    throw new AttemptError(ResultCode.AnswerIncomplete, 'unknown', detail);
  }
  let response: Response;
  try {
    response = await options.upstream.resume(start.attemptId, position.lastEventId, signal);
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    const hasCrashed = !(await options.upstream.isReachable());
    throw new AttemptError(ResultCode.AnswerIncomplete, 'unknown', detail, hasCrashed);
  }
  reportUpstreamState(options, incarnation, start.attemptId, response);
  if (response.statusCode !== 200) {
    await response.body.dump();
    // An upstream that no longer knows a stream it was sending has restarted.
    const detail = `the stream cannot be resumed: status ${response.statusCode}`;
    const hasCrashed = response.statusCode === 404;
    throw new AttemptError(ResultCode.AnswerIncomplete, 'unknown', detail, hasCrashed);
  }
  checkAttemptId(start, response);
  if (!isEventStream(response)) {
    await response.body.dump();
    const detail = 'the stream was resumed with an answer that is not a stream';
    throw new AttemptError(ResultCode.AnswerIncomplete, 'unknown', detail);
  }
  if (
    firstHeaderValue(response, WEIGHTS_DIGEST_HEADER) !==
    firstHeaderValue(firstResponse, WEIGHTS_DIGEST_HEADER)
  ) {
    const detail = 'the resumed stream comes from other weights';
    throw new AttemptError(ResultCode.AnswerIncomplete, 'unknown', detail);
  }
  return response;
}

async function* readResumableStream(
  options: UpstreamAnswerOptions,
  start: AttemptStart,
  firstResponse: Response,
  signal: AbortSignal,
): AsyncGenerator<AttemptItem, void> {
  const position: StreamPosition = { lastEventId: -1, isComplete: false };
  let response = firstResponse;
  for (let resumeCount = 0; ; resumeCount += 1) {
    yield* readEvents(start, response, position, resumeCount > 0);
    response.body.destroy();
    if (position.isComplete) return;
    signal.throwIfAborted();
    if (resumeCount === MAXIMUM_RESUMES) {
      throw new AttemptError(
        ResultCode.AnswerIncomplete,
        'unknown',
        'the stream was interrupted too often',
      );
    }
    response = await resumeStream(options, start, firstResponse, position, signal);
  }
}

/**
 * Sends the request of one attempt to the upstream and yields the items of its answer.
 *
 * @remarks
 * `end` is yielded only after a body that is known to be complete.
 *
 * @throws {@link AttemptError}, or the reason of the signal if it is aborted.
 */
export async function* readUpstreamAnswer(
  options: UpstreamAnswerOptions,
  start: AttemptStart,
  signal: AbortSignal,
): AsyncGenerator<AttemptItem, void> {
  const { incarnation } = options.departure;
  let response: Response;
  try {
    response = await options.upstream.send(start, signal);
  } catch (error) {
    signal.throwIfAborted();
    throw await sendError(error, options.upstream.isReachable);
  }
  // Destroying the body of a rejected answer emits an error, which would otherwise be unhandled.
  response.body.on('error', () => undefined);
  reportUpstreamState(options, incarnation, start.attemptId, response);
  try {
    checkStatus(response);
    checkAttemptId(start, response);
    options.onLimit(namedLimit(response));
    checkDigest(start, response, options.allowsDigest);
    if (isEventStream(response)) {
      yield headItem(start, response);
      yield* readResumableStream(options, start, response, signal);
    } else {
      yield* readPlainAnswer(options, start, response);
    }
  } finally {
    response.body.destroy();
  }
  yield { kind: 'end', attemptId: start.attemptId };
}
