import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import type { Digest } from '@burdockrail/common/digest.js';
import { Pool, type Dispatcher } from 'undici';

/** Size of the connection pool for orders and chunks. */
const ENGINE_CONNECTIONS = 8;

/** Timeout of a query to the engine, in milliseconds. */
const QUERY_TIMEOUT_MILLISECONDS = 2_000;

/** Timeout of staging or reading one chunk, in milliseconds. */
const CHUNK_TIMEOUT_MILLISECONDS = 15_000;

/** Timeout of an order, in milliseconds; the engine answers after executing it. */
const ORDER_TIMEOUT_MILLISECONDS = 120_000;

/** Load report of an engine; it lags behind the actual load. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly capacity: number;
  readonly cacheUse: number;
  /** Digest of the weights that the engine serves; null if it serves none. */
  readonly digest: Digest | null;
  readonly adapters: readonly string[];
}

/** Changes of an engine's prefix cache; a gap in their numbers means lost events. */
export interface EngineEvents {
  readonly next: number;
  readonly events: readonly { readonly kind: 'stored' | 'evicted'; readonly prefix: string }[];
}

/** Order to an engine. */
export interface EngineOrder {
  readonly kind: 'load' | 'adapter' | 'version' | 'role';
  readonly digest: Digest;
  readonly size: number;
  /** Number of staged chunks. */
  readonly chunks: number;
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
  readonly fencing: number;
}

/** Reply of an engine to an order. */
export type EngineOrderReply =
  | { readonly kind: 'loaded'; readonly digest: Digest }
  | { readonly kind: 'stale-fencing'; readonly highest: number };

/** Administrative calls to a model engine; each rejects with a {@link ResultError} on failure. */
export interface EngineClient extends AsyncDisposable {
  getLoad(): Promise<EngineLoad>;
  getEvents(since: number): Promise<EngineEvents>;
  stageChunk(digest: Digest, index: number, bytes: Uint8Array): Promise<void>;
  /** Reads a staged chunk; resolves with null if the engine does not have it. */
  readStagedChunk(digest: Digest, index: number): Promise<Buffer | null>;
  /** Deletes the chunks staged under a digest. */
  discardStaged(digest: Digest): Promise<void>;
  sendOrder(order: EngineOrder): Promise<EngineOrderReply>;
}

interface EngineRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: Uint8Array | string;
  readonly contentType?: string;
  readonly timeoutMilliseconds: number;
}

const HTTP_REDIRECTION = 300;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;

function chunkPath(digest: Digest, index: number): string {
  return `/admin/weights/${digest}/chunks/${index}`;
}

/**
 * Creates a client for the engine at a base URL.
 *
 * @param localAddress - Local IP address to connect from.
 */
export function createEngineClient(url: string, localAddress: string): EngineClient {
  const baseUrl = new URL(url);
  const pool = new Pool(baseUrl.origin, {
    connections: ENGINE_CONNECTIONS,
    connect: { localAddress },
  });
  const pathPrefix = baseUrl.pathname.replace(/\/$/u, '');

  const send = async (request: EngineRequest): Promise<Dispatcher.ResponseData> => {
    try {
      return await pool.request({
        method: request.method,
        path: `${pathPrefix}${request.path}`,
        body: request.body ?? null,
        headers: request.contentType === undefined ? {} : { 'content-type': request.contentType },
        signal: AbortSignal.timeout(request.timeoutMilliseconds),
        headersTimeout: request.timeoutMilliseconds,
      });
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      throw new ResultError(ResultCode.UpstreamFailed, reason);
    }
  };

  const reject = async (response: Dispatcher.ResponseData, operation: string): Promise<never> => {
    await response.body.dump();
    const detail = `engine answered ${operation} with HTTP status ${response.statusCode}`;
    throw new ResultError(ResultCode.EngineRefusedOrder, detail);
  };

  const getJson = async (path: string): Promise<unknown> => {
    const timeoutMilliseconds = QUERY_TIMEOUT_MILLISECONDS;
    const response = await send({ method: 'GET', path, timeoutMilliseconds });
    if (response.statusCode >= HTTP_REDIRECTION) return reject(response, path);
    return response.body.json();
  };

  return {
    getLoad: async () => (await getJson('/load')) as EngineLoad,
    getEvents: async (since) => (await getJson(`/events?since=${since}`)) as EngineEvents,
    stageChunk: async (digest, index, bytes) => {
      const response = await send({
        method: 'PUT',
        path: chunkPath(digest, index),
        body: bytes,
        contentType: 'application/octet-stream',
        timeoutMilliseconds: CHUNK_TIMEOUT_MILLISECONDS,
      });
      if (response.statusCode >= HTTP_REDIRECTION) await reject(response, 'chunk staging');
      await response.body.dump();
    },
    readStagedChunk: async (digest, index) => {
      const path = chunkPath(digest, index);
      const timeoutMilliseconds = CHUNK_TIMEOUT_MILLISECONDS;
      const response = await send({ method: 'GET', path, timeoutMilliseconds });
      if (response.statusCode === HTTP_NOT_FOUND) {
        await response.body.dump();
        return null;
      }
      if (response.statusCode >= HTTP_REDIRECTION) return reject(response, 'chunk reading');
      return Buffer.from(await response.body.arrayBuffer());
    },
    discardStaged: async (digest) => {
      const path = `/admin/weights/${digest}`;
      const timeoutMilliseconds = QUERY_TIMEOUT_MILLISECONDS;
      const response = await send({ method: 'DELETE', path, timeoutMilliseconds });
      await response.body.dump();
    },
    sendOrder: async (order) => {
      const response = await send({
        method: 'POST',
        path: '/admin/orders',
        body: JSON.stringify(order),
        contentType: 'application/json',
        timeoutMilliseconds: ORDER_TIMEOUT_MILLISECONDS,
      });
      if (response.statusCode === HTTP_CONFLICT) {
        const reply = (await response.body.json()) as { readonly highest?: number };
        return { kind: 'stale-fencing', highest: reply.highest ?? 0 };
      }
      if (response.statusCode >= HTTP_REDIRECTION) return reject(response, `order ${order.kind}`);
      const reply = (await response.body.json()) as { readonly digest: Digest };
      return { kind: 'loaded', digest: reply.digest };
    },
    [Symbol.asyncDispose]: async () => {
      await pool.destroy();
    },
  };
}
