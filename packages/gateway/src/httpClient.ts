import { requestWhole } from '@burdockrail/daemon/wholeAnswer.js';
import { Pool } from 'undici';
import { formatAddress, type Address } from '@burdockrail/protocol/protocolAddress.js';
import type { WireRequest } from './dialect.js';

/** Maximum connections to an engine or origin. */
const MAXIMUM_CONNECTIONS = 4;

/** Time after which an idle connection is closed, in milliseconds. */
const IDLE_TIMEOUT_MILLISECONDS = 1_000;

const CONNECT_TIMEOUT_MILLISECONDS = 500;

/** Largest accepted body of an answer, in bytes: a server in trouble may send without end. */
const MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024;

/** A complete HTTP answer. */
export interface HttpAnswer {
  readonly status: number;
  readonly body: Buffer;
}

/** HTTP client for one engine or origin. */
export interface HttpClient extends AsyncDisposable {
  /** @throws if no complete answer arrives in time, or one that is too large. */
  call(request: WireRequest, timeoutMilliseconds: number, bytes?: Uint8Array): Promise<HttpAnswer>;
}

/** Creates a client; connections are opened on first use. */
export function createHttpClient(address: Address, localAddress: string): HttpClient {
  const pool = new Pool(`http://${formatAddress(address)}`, {
    connections: MAXIMUM_CONNECTIONS,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS, localAddress },
    keepAliveTimeout: IDLE_TIMEOUT_MILLISECONDS,
  });
  return {
    call: async ({ method, path, body }, timeoutMilliseconds, bytes) =>
      requestWhole(
        pool,
        {
          method,
          path,
          body: bytes ?? body,
          headers: body === null ? {} : { 'content-type': 'application/json' },
        },
        MAXIMUM_ANSWER_BYTES,
        AbortSignal.timeout(timeoutMilliseconds),
      ),
    [Symbol.asyncDispose]: async () => pool.destroy(),
  };
}
