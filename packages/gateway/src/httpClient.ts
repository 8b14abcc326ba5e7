import { Pool } from 'undici';
import { formatAddress, type Address } from '@burdockrail/protocol/protocolAddress.js';
import type { WireRequest } from './dialect.js';

/** Connections to an engine or origin for orders and chunks. */
const MAXIMUM_CONNECTIONS = 4;

/** Time for which an idle connection is kept, in milliseconds. */
const IDLE_TIMEOUT_MILLISECONDS = 1_000;

const CONNECT_TIMEOUT_MILLISECONDS = 500;

/** Answer to a call. */
export interface HttpAnswer {
  readonly status: number;
  readonly body: Buffer;
}

/** Calls to one engine or origin. */
export interface HttpClient extends AsyncDisposable {
  /** Rejects when no whole answer came in time. */
  call(request: WireRequest, timeoutMilliseconds: number, bytes?: Uint8Array): Promise<HttpAnswer>;
}

/** Creates a caller; connections are made when first used. */
export function createHttpClient(address: Address, localAddress: string): HttpClient {
  const pool = new Pool(`http://${formatAddress(address)}`, {
    connections: MAXIMUM_CONNECTIONS,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS, localAddress },
    keepAliveTimeout: IDLE_TIMEOUT_MILLISECONDS,
  });
  return {
    call: async ({ method, path, body }, timeoutMilliseconds, bytes) => {
      const isJson = body !== null;
      const { statusCode, body: answer } = await pool.request({
        method,
        path,
        body: bytes ?? body,
        headers: isJson ? { 'content-type': 'application/json' } : {},
        signal: AbortSignal.timeout(timeoutMilliseconds),
      });
      return { status: statusCode, body: Buffer.from(await answer.arrayBuffer()) };
    },
    [Symbol.asyncDispose]: async () => pool.destroy(),
  };
}
