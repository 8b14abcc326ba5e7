import type { Socket } from 'node:net';
import { buildConnector, Pool, type Dispatcher } from 'undici';
import type { HeaderMap } from './dialect.js';

/** Time after which an upstream that takes no connection counts as lost, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 250;

/** Time for which an idle connection is kept when the upstream says nothing, in milliseconds. */
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 4_000;

/** Longest time for which an idle connection is kept when the upstream says how long it does. */
const MAXIMUM_IDLE_TIMEOUT_MILLISECONDS = 30_000;

/** Time by which an idle connection is closed before the upstream would, in milliseconds. */
const IDLE_TIMEOUT_MARGIN_MILLISECONDS = 900;

/** Largest block of headers of an answer, in bytes. */
const MAXIMUM_HEADER_BYTES = 32 * 1024;

/** A request as it goes out. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
}

/** What happens to a request at an upstream, in this order. */
export interface AttemptObserver {
  /** Asked right before the first byte; the request is given up on `false`. */
  mayStart(): boolean;
  /** The first byte is about to be written; without this call the upstream has seen nothing. */
  sent(): void;
  head(status: number, headers: HeaderMap, rawHeaders: readonly string[]): void;
  data(bytes: Buffer): void;
  /** The answer came to its proper end; one without a length ended with an orderly close. */
  end(): void;
  failed(error: Error): void;
}

/** A request in progress at an upstream. */
export interface RunningAttempt {
  /** Gives the request up and closes its connection. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/** Kept connections to upstreams, one request at a time on each. */
export interface UpstreamConnections extends AsyncDisposable {
  run(
    address: string,
    maximumConnections: number,
    request: OutgoingRequest,
    observer: AttemptObserver,
    /** Gives the request up when it aborts. */
    signal?: AbortSignal,
  ): RunningAttempt;
  /** Closes the connections to addresses that are not named. */
  retain(addresses: ReadonlySet<string>): void;
}

function rawHeaderStrings(raw: unknown): readonly string[] {
  return Array.isArray(raw) ? raw.map((part: unknown) => String(part)) : [];
}

/** Creates a set without connections. */
export function createUpstreamConnections(localAddress: string): UpstreamConnections {
  const pools = new Map<string, Pool>();
  // Half open, so that the end of an answer can be told from a reset by a write.
  const connectSocket = buildConnector({
    timeout: CONNECT_TIMEOUT_MILLISECONDS,
    localAddress,
    allowHalfOpen: true,
  });
  let resetVerdict: Promise<boolean> | null = null;

  /**
   * Tells whether the peer has reset a connection that was reported as ended.
   *
   * An answer without a length ends with its connection, and bytes that arrive together with a reset
   * are reported in the same way as an orderly close. Only a write fails after a reset; an empty
   * line after the last answer means nothing to a peer that has closed.
   */
  const probeForReset = async (socket: Socket): Promise<boolean> =>
    new Promise((resolve) => {
      socket.write('\r\n', (error) => {
        resolve(error !== undefined && error !== null);
      });
    });

  /** Remembers the verdict while the client handles the same event. */
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
      // A failed connection comes with an error and, against the types, without a second argument.
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
        controller?.abort(new Error('given up'));
        settle(() => {
          observer.failed(new Error('given up'));
        });
      };
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
            if (isAborted || !observer.mayStart()) started.abort(new Error('given up'));
            else observer.sent();
          },
          onResponseStart: (started, status, headers) => {
            if (status < 200) return;
            const raw = (started as unknown as { readonly rawHeaders?: unknown }).rawHeaders;
            observer.head(status, headers, rawHeaderStrings(raw));
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
                    observer.failed(new Error('reset inside an answer without a length'));
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
        // Requests in progress end by themselves; the pool closes after the last.
        pool.close().catch(() => undefined);
      }
    },
    [Symbol.asyncDispose]: async () => {
      await Promise.all([...pools.values()].map(async (pool) => pool.destroy()));
    },
  };
}
