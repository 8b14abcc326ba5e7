import { connect } from 'node:net';
import type { AttemptStart } from '@burdockrail/protocol/protocolAttempt.js';
import { Agent, type Dispatcher } from 'undici';

/** Bound on connecting to the upstream, in milliseconds; it runs on the same machine. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** Bound on cancelling a stream, in milliseconds. */
const CANCEL_TIMEOUT_MILLISECONDS = 1_000;

/** Header that pairs an answer with its attempt. */
export const REQUEST_ID_HEADER = 'x-request-id';

/** Header that names the digest of the weights that answer. */
export const DIGEST_HEADER = 'x-weights-digest';

/** Headers that belong to one connection and are not passed on. */
const connectionHeaders: ReadonlySet<string> = new Set([
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

/** Requests of attempts to the upstream. */
export interface AttemptUpstream extends AsyncDisposable {
  /** Sends the request of an attempt. */
  send(start: AttemptStart, signal: AbortSignal): Promise<Dispatcher.ResponseData>;
  /** Asks for the events of a stream after the one with the given number. */
  resume(
    attemptId: string,
    lastEventId: number,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData>;
  /** Tells the upstream to stop work on a stream; errors are of no consequence. */
  cancel(attemptId: string): Promise<void>;
  /** Tells whether the upstream accepts connections. */
  readonly isReachable: () => Promise<boolean>;
}

/** Gives the headers that are passed on, in lower case and joined where they repeat. */
export function passedHeaders(
  headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): Readonly<Record<string, string>> {
  const passed: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    const lowerCase = name.toLowerCase();
    if (value === undefined || connectionHeaders.has(lowerCase)) continue;
    passed[lowerCase] = typeof value === 'string' ? value : value.join(', ');
  }
  return passed;
}

async function canConnect(url: URL, localAddress: string): Promise<boolean> {
  const socket = connect({ host: url.hostname, port: Number(url.port), localAddress });
  socket.setTimeout(CONNECT_TIMEOUT_MILLISECONDS);
  const reachable = await new Promise<boolean>((resolve) => {
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
  return reachable;
}

/**
 * Creates a client for the attempts of one agent.
 *
 * @param localAddress - IP number to connect from.
 */
export function createAttemptUpstream(url: string, localAddress: string): AttemptUpstream {
  const base = new URL(url);
  const prefix = base.pathname.replace(/\/$/u, '');
  // Timeouts of whole attempts are the caller's: a model may think long before its first byte.
  const dispatcher = new Agent({
    connect: { localAddress, timeout: CONNECT_TIMEOUT_MILLISECONDS },
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
  });
  const streamPath = (attemptId: string): string =>
    `${prefix}/v1/streams/${encodeURIComponent(attemptId)}`;

  return {
    send: async (start, signal) =>
      dispatcher.request({
        origin: base.origin,
        path: `${prefix}${start.path}`,
        method: start.method,
        headers: {
          ...passedHeaders(start.headers),
          [REQUEST_ID_HEADER]: start.attemptId,
          'x-priority': String(start.priority),
        },
        body: start.body.length === 0 ? null : start.body,
        signal,
      }),
    resume: async (attemptId, lastEventId, signal) =>
      dispatcher.request({
        origin: base.origin,
        path: streamPath(attemptId),
        method: 'GET',
        headers: { [REQUEST_ID_HEADER]: attemptId, 'last-event-id': String(lastEventId) },
        signal,
      }),
    cancel: async (attemptId) => {
      try {
        const response = await dispatcher.request({
          origin: base.origin,
          path: streamPath(attemptId),
          method: 'DELETE',
          signal: AbortSignal.timeout(CANCEL_TIMEOUT_MILLISECONDS),
        });
        await response.body.dump();
      } catch {
        // The upstream ends the work by itself when its connection is gone.
      }
    },
    isReachable: async () => canConnect(base, localAddress),
    [Symbol.asyncDispose]: async () => {
      await dispatcher.destroy();
    },
  };
}
