import { connect } from 'node:net';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { AttemptStart } from '@burdockrail/protocol/protocolAttempt.js';
import { Agent, type Dispatcher } from 'undici';
import { AttemptError } from './attemptFailure.js';

/** Timeout of connecting to the upstream, which runs on the same machine, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** Timeout of cancelling a stream, in milliseconds. */
const CANCEL_TIMEOUT_MILLISECONDS = 1_000;

/** Header with the id of the attempt, on requests and answers. */
export const REQUEST_ID_HEADER = 'x-request-id';

/** Header with the digest of the weights that gave the answer. */
export const WEIGHTS_DIGEST_HEADER = 'x-weights-digest';

/**
 * Header with the requests per second that the upstream takes from all callers together; an answer
 * without it names no limit.
 */
export const REQUESTS_PER_SECOND_HEADER = 'x-requests-per-second';

/** Header with the value `1` in all answers of an upstream that leaves. */
export const LEAVING_HEADER = 'x-leaving';

/** Header of a refusal with the seconds for which the upstream wants no attempts. */
export const RETRY_AFTER_HEADER = 'retry-after';

/** Headers that apply to a single connection and are not forwarded. */
const hopByHopHeaders: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'expect',
]);

/** HTTP client for attempts at the upstream. */
export interface AttemptUpstream extends AsyncDisposable {
  /** Sends the request of an attempt. */
  send(start: AttemptStart, signal: AbortSignal): Promise<Dispatcher.ResponseData>;
  /** Requests the events of a stream after the one with the given id. */
  resume(
    attemptId: string,
    lastEventId: number,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData>;
  /** Asks the upstream to stop processing a stream; errors are ignored. */
  cancel(attemptId: string): Promise<void>;
  /** Returns whether the upstream accepts connections. */
  readonly isReachable: () => Promise<boolean>;
}

/** Returns the headers to forward, with names in lower case and repeated values joined. */
export function endToEndHeaders(
  headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): Readonly<Record<string, string>> {
  const forwarded: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    const lowerCase = name.toLowerCase();
    if (value === undefined || hopByHopHeaders.has(lowerCase)) continue;
    forwarded[lowerCase] = typeof value === 'string' ? value : value.join(', ');
  }
  return forwarded;
}

/** Handler that closes the connection of an answer to another attempt, and rejects the request. */
function rejectForeignAnswer(
  attemptId: string,
  handler: Dispatcher.DispatchHandler,
): Dispatcher.DispatchHandler {
  return {
    onRequestStart: (controller, context) => handler.onRequestStart?.(controller, context),
    onRequestUpgrade: (...upgrade) => handler.onRequestUpgrade?.(...upgrade),
    onResponseStart: (controller, status, headers, statusMessage) => {
      const answeredId = headers[REQUEST_ID_HEADER];
      if (answeredId === undefined || answeredId === attemptId) {
        handler.onResponseStart?.(controller, status, headers, statusMessage);
        return;
      }
      // The answer to this attempt may still arrive, and must not meet the next one.
      const detail = "the answer does not carry the attempt's id";
      controller.abort(new AttemptError(ResultCode.AnswerMismatched, 'unknown', detail));
    },
    onResponseData: (controller, bytes) => handler.onResponseData?.(controller, bytes),
    onResponseEnd: (controller, trailers) => handler.onResponseEnd?.(controller, trailers),
    onResponseError: (controller, error) => handler.onResponseError?.(controller, error),
  };
}

async function canConnect(url: URL, localAddress: string): Promise<boolean> {
  const socket = connect({ host: url.hostname, port: Number(url.port), localAddress });
  socket.setTimeout(CONNECT_TIMEOUT_MILLISECONDS);
  const isReachable = await new Promise<boolean>((resolve) => {
    socket.once('connect', () => {
      resolve(true);
    });
    socket.once('timeout', () => {
      resolve(false);
    });
    socket.once('error', () => {
      resolve(false);
    });
  });
  socket.destroy();
  return isReachable;
}

/**
 * Creates a client for the attempts of one agent.
 *
 * @param localAddress - Local IP address to connect from.
 */
export function createAttemptUpstream(url: string, localAddress: string): AttemptUpstream {
  const baseUrl = new URL(url);
  const pathPrefix = baseUrl.pathname.replace(/\/$/u, '');
  // A model may take long before its first byte, so only the signal passed in bounds an attempt.
  const dispatcher = new Agent({
    connect: { localAddress, timeout: CONNECT_TIMEOUT_MILLISECONDS },
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
  });
  const dispatcherOf = (attemptId: string): Dispatcher =>
    dispatcher.compose(
      (dispatch) => (options, handler) =>
        dispatch(options, rejectForeignAnswer(attemptId, handler)),
    );
  const streamPath = (attemptId: string): string =>
    `${pathPrefix}/v1/streams/${encodeURIComponent(attemptId)}`;

  return {
    send: async (start, signal) =>
      dispatcherOf(start.attemptId).request({
        origin: baseUrl.origin,
        path: `${pathPrefix}${start.path}`,
        method: start.method,
        headers: {
          ...endToEndHeaders(start.headers),
          [REQUEST_ID_HEADER]: start.attemptId,
          'x-priority': String(start.priority),
        },
        body: start.body.length === 0 ? null : start.body,
        signal,
      }),
    resume: async (attemptId, lastEventId, signal) =>
      dispatcherOf(attemptId).request({
        origin: baseUrl.origin,
        path: streamPath(attemptId),
        method: 'GET',
        headers: { [REQUEST_ID_HEADER]: attemptId, 'last-event-id': String(lastEventId) },
        signal,
      }),
    cancel: async (attemptId) => {
      try {
        const response = await dispatcher.request({
          origin: baseUrl.origin,
          path: streamPath(attemptId),
          method: 'DELETE',
          signal: AbortSignal.timeout(CANCEL_TIMEOUT_MILLISECONDS),
        });
        await response.body.dump();
      } catch {
        // The upstream stops by itself when its connection is closed.
      }
    },
    isReachable: async () => canConnect(baseUrl, localAddress),
    [Symbol.asyncDispose]: async () => {
      await dispatcher.destroy();
    },
  };
}
