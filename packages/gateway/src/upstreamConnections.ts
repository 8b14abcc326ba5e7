import { validateHeaderName, validateHeaderValue } from 'node:http';
import type { Socket } from 'node:net';
import { isFinalStatus } from '@burdockrail/common/httpStatus.js';
import { buildConnector, Pool, type Dispatcher } from 'undici';
import type { HeaderMap } from './dialect.js';

/** Connect timeout, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 250;

/** Idle timeout of a connection if the upstream states none, in milliseconds. */
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 4_000;

/** Maximum idle timeout that an upstream may state, in milliseconds. */
const MAXIMUM_IDLE_TIMEOUT_MILLISECONDS = 30_000;

/** Time by which an idle connection is closed earlier than the upstream would, in milliseconds. */
const IDLE_TIMEOUT_MARGIN_MILLISECONDS = 900;

/** Maximum size of an answer's headers, in bytes. */
const MAXIMUM_HEADER_BYTES = 32 * 1024;

/** An HTTP request to an upstream. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
}

/** Callbacks of a request, in the order in which they are called. */
export interface AttemptObserver {
  /** Called right before the first byte is sent; returning `false` aborts the request. */
  mayStart(): boolean;
  /** The first byte is about to be sent; without this call the upstream has received nothing. */
  sent(): void;
  head(status: number, headers: HeaderMap, rawHeaders: readonly string[]): void;
  data(bytes: Buffer): void;
  /** The answer is complete; one without a length was ended by an orderly close. */
  end(): void;
  failed(error: Error): void;
}

/** A request in progress at an upstream. */
export interface RunningAttempt {
  /** Aborts the request and closes its connection. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/** Connection pools of upstreams, without pipelining. */
export interface UpstreamConnections extends AsyncDisposable {
  /** Sends a request; never throws, because the observer is told of each failure. */
  run(
    address: string,
    maximumConnections: number,
    request: OutgoingRequest,
    observer: AttemptObserver,
    /** Aborts the request. */
    signal?: AbortSignal,
  ): RunningAttempt;
  /** Closes the connections to all other addresses. */
  retain(addresses: ReadonlySet<string>): void;
}

/**
 * Returns the header lines of an answer as they were sent, each byte as one character.
 *
 * @throws if one of them can't be sent on, as its sender must have been disturbed.
 */
function readRawHeaders(raw: unknown): readonly string[] {
  if (!Array.isArray(raw)) return [];
  const headers = raw.map((part: unknown) =>
    Buffer.isBuffer(part) ? part.toString('latin1') : String(part),
  );
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const [name = '', value = ''] = headers.slice(index, index + 2);
    validateHeaderName(name);
    validateHeaderValue(name, value);
  }
  return headers;
}

/** Creates the pools; connections are opened on first use. */
export function createUpstreamConnections(localAddress: string): UpstreamConnections {
  const pools = new Map<string, Pool>();
  // Half open, so that a write can distinguish an orderly close from a reset.
  const connectSocket = buildConnector({
    timeout: CONNECT_TIMEOUT_MILLISECONDS,
    localAddress,
    allowHalfOpen: true,
  });
  let resetVerdict: Promise<boolean> | null = null;

  /**
   * Tells whether a connection that was reported as ended has been reset by the peer.
   *
   * An answer without a length ends with its connection, and bytes that arrive together with a
   * reset look like an orderly close. Only a write fails after a reset; a peer that has closed
   * ignores the empty line.
   */
  const probeForReset = async (socket: Socket): Promise<boolean> =>
    new Promise((resolve) => {
      socket.write('\r\n', (error) => {
        resolve(error !== undefined && error !== null);
      });
    });

  /** Keeps the verdict until the HTTP client has handled the same event. */
  const rememberVerdict = (wasReset: Promise<boolean>): void => {
    resetVerdict = wasReset;
    queueMicrotask(() => {
      resetVerdict = null;
    });
  };

  const connect: buildConnector.connector = (options, callback) => {
    connectSocket(options, (error, socket) => {
      const opened = socket as Socket | null | undefined;
      opened?.on('end', () => {
        rememberVerdict(probeForReset(opened));
      });
      opened?.on('error', () => {
        rememberVerdict(Promise.resolve(true));
      });
      // On failure the second argument is missing, contrary to the types.
      if (error === null) callback(null, socket);
      else callback(error, null);
    });
  };

  const openPool = (address: string, connections: number): Pool => {
    const known = pools.get(address);
    if (known !== undefined) return known;
    const pool = new Pool(`http://${address}`, {
      connections,
      pipelining: 1,
      connect,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MILLISECONDS,
      keepAliveMaxTimeout: MAXIMUM_IDLE_TIMEOUT_MILLISECONDS,
      keepAliveTimeoutThreshold: IDLE_TIMEOUT_MARGIN_MILLISECONDS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
    });
    pools.set(address, pool);
    return pool;
  };

  return {
    run: (address, maximumConnections, request, observer, signal) => {
      let controller: Dispatcher.DispatchController | null = null;
      let isAborted = false;
      let isSettled = false;
      const settle = (report: () => void): void => {
        if (isSettled) return;
        isSettled = true;
        signal?.removeEventListener('abort', abort);
        report();
      };
      const abort = (): void => {
        isAborted = true;
        controller?.abort(new Error('request aborted by the gateway'));
        settle(() => {
          observer.failed(new Error('request aborted by the gateway'));
        });
      };
      try {
        openPool(address, maximumConnections).dispatch(
          {
            method: request.method,
            path: request.path,
            headers: [...request.headers],
            body: request.body,
            // The next request on a connection must not wait behind a stream.
            blocking: false,
          },
          {
            onRequestStart: (started) => {
              controller = started;
              if (isAborted || !observer.mayStart())
                started.abort(new Error('request aborted by the gateway'));
              else observer.sent();
            },
            onResponseStart: (started, status, headers) => {
              if (status >= 100 && status < 200) return;
              // Thrown here, it ends the connection and counts as a broken answer.
              if (!isFinalStatus(status)) throw new Error(`status ${status} is not one of HTTP`);
              const raw = (started as unknown as { readonly rawHeaders?: unknown }).rawHeaders;
              observer.head(status, headers, readRawHeaders(raw));
            },
            onResponseData: (_controller, bytes) => {
              if (!isSettled) observer.data(bytes);
            },
            onResponseEnd: () => {
              settle(() => {
                if (resetVerdict === null) observer.end();
                else
                  void resetVerdict.then((wasReset) => {
                    if (wasReset)
                      observer.failed(
                        new Error('connection reset during an answer without a length'),
                      );
                    else observer.end();
                  });
              });
            },
            onResponseError: (_controller, error) => {
              settle(() => {
                observer.failed(error);
              });
            },
          },
        );
      } catch (error) {
        // An address that is no URL throws at once, when the caller does not have the attempt yet.
        queueMicrotask(() => {
          settle(() => {
            observer.failed(error instanceof Error ? error : new Error(String(error)));
          });
        });
      }
      signal?.addEventListener('abort', abort, { once: true });
      if (signal?.aborted === true) abort();
      return {
        abort,
        pause: () => {
          controller?.pause();
        },
        resume: () => {
          controller?.resume();
        },
      };
    },
    retain: (addresses) => {
      for (const [address, pool] of pools) {
        if (addresses.has(address)) continue;
        pools.delete(address);
        // The pool closes after its last request in progress.
        pool.close().catch(() => undefined);
      }
    },
    [Symbol.asyncDispose]: async () => {
      await Promise.all([...pools.values()].map(async (pool) => pool.destroy()));
    },
  };
}
