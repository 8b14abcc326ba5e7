import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { AttemptItem, AttemptStart } from '@burdockrail/protocol/protocolAttempt.js';
import type { Dispatcher } from 'undici';
import { AttemptError, lostConnection, sendFailure } from './attemptFailure.js';
import { createEventSplitter, judgeEvent } from './attemptEvents.js';
import {
  DIGEST_HEADER,
  REQUEST_ID_HEADER,
  passedHeaders,
  type AttemptUpstream,
} from './attemptUpstream.js';

/** Times that one stream is resumed before its attempt fails. */
const MAXIMUM_RESUMES = 3;

/** Largest answer that is gathered before its head is passed on, in bytes. */
const MAXIMUM_GATHERED_BYTES = 256 * 1024;

/** Lowest status with which an upstream reports a failure of its own. */
const LOWEST_FAILURE_STATUS = 500;

/** Statuses whose answers have no body. */
const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/** Digests that an upstream may answer with; a plain service has none to check. */
export type DigestCheck = (digest: string) => boolean;

type Response = Dispatcher.ResponseData;

function headerOf(response: Response, name: string): string | undefined {
  const value = response.headers[name];
  return typeof value === 'string' ? value : value?.[0];
}

function isEventStream(response: Response): boolean {
  return headerOf(response, 'content-type')?.startsWith('text/event-stream') ?? false;
}

/**
 * Tells whether the end of the body proves that it is whole.
 *
 * @remarks
 * The HTTP library takes the end of a connection that is not kept alive for the end of the body,
 * so the last chunk of a chunked body proves nothing on such a connection.
 */
function endProvesWhole(response: Response): boolean {
  if (statusesWithoutBody.has(response.statusCode)) return true;
  if (headerOf(response, 'content-length') !== undefined) return true;
  const isChunked = headerOf(response, 'transfer-encoding')?.includes('chunked') ?? false;
  return isChunked && headerOf(response, 'connection')?.toLowerCase() !== 'close';
}

function checkIdentity(start: AttemptStart, response: Response): void {
  const identity = headerOf(response, REQUEST_ID_HEADER);
  if (identity === start.attemptId) return;
  if (identity === undefined && response.statusCode >= LOWEST_FAILURE_STATUS) {
    const detail = `the upstream answered with status ${response.statusCode}`;
    throw new AttemptError(ResultCode.UpstreamFailed, 'unknown', detail);
  }
  const detail = 'the answer does not carry the identity of the attempt';
  throw new AttemptError(ResultCode.AnswerMismatched, 'unknown', detail);
}

function checkDigest(start: AttemptStart, response: Response, allows: DigestCheck): void {
  const digest = headerOf(response, DIGEST_HEADER);
  if (digest === undefined) return;
  const isBound = start.versionDigest === undefined || start.versionDigest === digest;
  if (isBound && allows(digest)) return;
  const detail = `the upstream answered with the weights ${digest}`;
  throw new AttemptError(ResultCode.VersionUnavailable, 'unknown', detail);
}

function headItem(start: AttemptStart, response: Response): AttemptItem {
  const versionDigest = headerOf(response, DIGEST_HEADER);
  return {
    kind: 'head',
    attemptId: start.attemptId,
    status: response.statusCode,
    headers: passedHeaders(response.headers),
    ...(versionDigest === undefined ? {} : { versionDigest }),
  };
}

/** Runs attempts at one upstream. */
export interface AnswerSource {
  readonly upstream: AttemptUpstream;
  readonly allowsDigest: DigestCheck;
}

async function* bodyParts(
  source: AnswerSource,
  response: Response,
): AsyncGenerator<Uint8Array, void> {
  try {
    for await (const bytes of response.body as AsyncIterable<Uint8Array>) yield bytes;
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    const lost = await lostConnection(detail, source.upstream.isReachable);
    throw new AttemptError(ResultCode.AnswerIncomplete, 'unknown', detail, lost.upstreamCrashed);
  }
  if (endProvesWhole(response)) return;
  throw new AttemptError(ResultCode.AnswerIncomplete, 'unknown', 'the length is not known');
}

/** Tells whether a body is small enough to be checked before its head is passed on. */
function isGathered(response: Response): boolean {
  const length = Number(headerOf(response, 'content-length'));
  return length <= MAXIMUM_GATHERED_BYTES;
}

/**
 * Passes on an answer that is not a stream of events.
 *
 * @remarks
 * Once the head has reached the caller a cut answer cannot be replaced by that of another attempt,
 * so a small answer is passed on only when it is whole.
 */
async function* plainAnswer(
  source: AnswerSource,
  start: AttemptStart,
  response: Response,
): AsyncGenerator<AttemptItem, void> {
  const { attemptId } = start;
  if (!isGathered(response)) {
    yield headItem(start, response);
    for await (const bytes of bodyParts(source, response)) yield { kind: 'data', attemptId, bytes };
    return;
  }
  const parts: Uint8Array[] = [];
  for await (const bytes of bodyParts(source, response)) parts.push(bytes);
  yield headItem(start, response);
  if (parts.length > 0) yield { kind: 'data', attemptId, bytes: Buffer.concat(parts) };
}

/** Position in a stream of events that may have been resumed. */
interface StreamPosition {
  lastId: number;
  ended: boolean;
}

async function* eventsUntilCut(
  start: AttemptStart,
  response: Response,
  position: StreamPosition,
): AsyncGenerator<AttemptItem, void> {
  const splitter = createEventSplitter();
  try {
    for await (const bytes of response.body as AsyncIterable<Uint8Array>) {
      for (const event of splitter.push(bytes)) {
        const verdict = judgeEvent(event, position.lastId);
        if (verdict === 'drop') continue;
        if (verdict === 'gap') return;
        yield { kind: 'data', attemptId: start.attemptId, bytes: event.bytes };
        position.lastId = event.id ?? position.lastId;
        position.ended = event.last;
        if (event.last) return;
      }
    }
  } catch (error) {
    if (error instanceof AttemptError) throw error;
    // A broken connection is a cut: the caller resumes the stream.
  }
}

async function resumeStream(
  source: AnswerSource,
  start: AttemptStart,
  first: Response,
  position: StreamPosition,
  signal: AbortSignal,
): Promise<Response> {
  if (position.lastId < 0) {
    throw await lostConnection('the stream was cut before its first event', () =>
      source.upstream.isReachable(),
    );
  }
  let response: Response;
  try {
    response = await source.upstream.resume(start.attemptId, position.lastId, signal);
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    const crashed = !(await source.upstream.isReachable());
    throw new AttemptError(ResultCode.AnswerIncomplete, 'unknown', detail, crashed);
  }
  if (response.statusCode !== 200) {
    await response.body.dump();
    // An upstream that has no trace of a stream it was sending lost its memory by a restart.
    const detail = `the stream cannot be resumed: status ${response.statusCode}`;
    const crashed = response.statusCode === 404;
    throw new AttemptError(ResultCode.AnswerIncomplete, 'unknown', detail, crashed);
  }
  checkIdentity(start, response);
  if (headerOf(response, DIGEST_HEADER) !== headerOf(first, DIGEST_HEADER)) {
    const detail = 'the stream would go on under other weights';
    throw new AttemptError(ResultCode.AnswerIncomplete, 'unknown', detail);
  }
  return response;
}

async function* streamedBody(
  source: AnswerSource,
  start: AttemptStart,
  first: Response,
  signal: AbortSignal,
): AsyncGenerator<AttemptItem, void> {
  const position: StreamPosition = { lastId: -1, ended: false };
  let response = first;
  for (let resumes = 0; ; resumes += 1) {
    yield* eventsUntilCut(start, response, position);
    response.body.destroy();
    if (position.ended) return;
    signal.throwIfAborted();
    if (resumes === MAXIMUM_RESUMES) {
      throw new AttemptError(
        ResultCode.AnswerIncomplete,
        'unknown',
        'the stream was cut too often',
      );
    }
    response = await resumeStream(source, start, first, position, signal);
  }
}

/**
 * Runs one attempt and gives the items of its answer.
 *
 * @remarks
 * Throws an {@link AttemptError}, or the reason of the signal. `end` comes only after a body that
 * is provably whole.
 */
export async function* upstreamAnswer(
  source: AnswerSource,
  start: AttemptStart,
  signal: AbortSignal,
): AsyncGenerator<AttemptItem, void> {
  let response: Response;
  try {
    response = await source.upstream.send(start, signal);
  } catch (error) {
    signal.throwIfAborted();
    throw await sendFailure(error, source.upstream.isReachable);
  }
  // The body of a refused answer reports its own end as an error that no one else would handle.
  response.body.on('error', () => undefined);
  try {
    checkIdentity(start, response);
    checkDigest(start, response, source.allowsDigest);
    if (isEventStream(response)) {
      yield headItem(start, response);
      yield* streamedBody(source, start, response, signal);
    } else {
      yield* plainAnswer(source, start, response);
    }
  } finally {
    response.body.destroy();
  }
  yield { kind: 'end', attemptId: start.attemptId };
}
