import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import type { Digest } from '@burdockrail/common/digest.js';
import { Pool } from 'undici';
import { requestWhole, type WholeAnswer } from './wholeAnswer.js';

/** Size of the connection pool for orders and chunks. */
const ENGINE_CONNECTIONS = 8;

/** Largest accepted answer, in bytes: one chunk. */
const MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;

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

function parseJson({ body }: WholeAnswer): unknown {
  return JSON.parse(body.toString('utf8'));
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

  const send = async (request: EngineRequest): Promise<WholeAnswer> => {
    const { method, path, body = null, contentType, timeoutMilliseconds } = request;
    const headers = contentType === undefined ? {} : { 'content-type': contentType };
    const options = { method, path: `${pathPrefix}${path}`, body, headers };
    const signal = AbortSignal.timeout(timeoutMilliseconds);
    try {
      return await requestWhole(
        pool,
        { ...options, headersTimeout: timeoutMilliseconds },
        MAXIMUM_ANSWER_BYTES,
        signal,
      );
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      throw new ResultError(ResultCode.UpstreamFailed, reason);
    }
  };

  const reject = ({ status }: WholeAnswer, operation: string): never => {
    const detail = `engine answered ${operation} with HTTP status ${status}`;
    throw new ResultError(ResultCode.EngineRefusedOrder, detail);
  };

  const getJson = async (path: string): Promise<unknown> => {
    const timeoutMilliseconds = QUERY_TIMEOUT_MILLISECONDS;
    const response = await send({ method: 'GET', path, timeoutMilliseconds });
    if (response.status >= HTTP_REDIRECTION) return reject(response, path);
    return parseJson(response);
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
      if (response.status >= HTTP_REDIRECTION) reject(response, 'chunk staging');
    },
    readStagedChunk: async (digest, index) => {
      const path = chunkPath(digest, index);
      const timeoutMilliseconds = CHUNK_TIMEOUT_MILLISECONDS;
      const response = await send({ method: 'GET', path, timeoutMilliseconds });
      if (response.status === HTTP_NOT_FOUND) {
        return null;
      }
      if (response.status >= HTTP_REDIRECTION) return reject(response, 'chunk reading');
      return response.body;
    },
    discardStaged: async (digest) => {
      const path = `/admin/weights/${digest}`;
      const timeoutMilliseconds = QUERY_TIMEOUT_MILLISECONDS;
      await send({ method: 'DELETE', path, timeoutMilliseconds });
    },
    sendOrder: async (order) => {
      const response = await send({
        method: 'POST',
        path: '/admin/orders',
        body: JSON.stringify(order),
        contentType: 'application/json',
        timeoutMilliseconds: ORDER_TIMEOUT_MILLISECONDS,
      });
      if (response.status === HTTP_CONFLICT) {
        const reply = parseJson(response) as { readonly highest?: number };
        return { kind: 'stale-fencing', highest: reply.highest ?? 0 };
      }
      if (response.status >= HTTP_REDIRECTION) return reject(response, `order ${order.kind}`);
      const reply = parseJson(response) as { readonly digest: Digest };
      return { kind: 'loaded', digest: reply.digest };
    },
    [Symbol.asyncDispose]: async () => {
      await pool.destroy();
    },
  };
}
