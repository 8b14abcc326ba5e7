import { Pool } from 'undici';
import { formatAddress, type Address } from '@burdockrail/protocol/protocolAddress.js';
import type { WireRequest } from './dialect.js';

/** Connections to an engine or origin for orders and chunks. */
const CONNECTIONS = 4;

/** Time for which an idle connection is kept, in milliseconds. */
const IDLE_MILLISECONDS = 1_000;

const CONNECT_MILLISECONDS = 500;

/** Answer to a call. */
export interface CallAnswer {
  readonly status: number;
  readonly body: Buffer;
}

/** Calls to one engine or origin. */
export interface HttpCaller extends AsyncDisposable {
  /** Rejects when no whole answer came in time. */
  call(request: WireRequest, bound: number, bytes?: Uint8Array): Promise<CallAnswer>;
}

/** Creates a caller; connections are made when first used. */
export function createHttpCaller(address: Address, localAddress: string): HttpCaller {
  const pool = new Pool(`http://${formatAddress(address)}`, {
    connections: CONNECTIONS,
    pipelining: 1,
    connect: { timeout: CONNECT_MILLISECONDS, localAddress },
    keepAliveTimeout: IDLE_MILLISECONDS,
  });
  return {
    call: async ({ method, path, body }, bound, bytes) => {
      const isJson = body !== null;
      const { statusCode, body: answer } = await pool.request({
        method,
        path,
        body: bytes ?? body,
        headers: isJson ? { 'content-type': 'application/json' } : {},
        signal: AbortSignal.timeout(bound),
      });
      return { status: statusCode, body: Buffer.from(await answer.arrayBuffer()) };
    },
    [Symbol.asyncDispose]: async () => pool.destroy(),
  };
}
