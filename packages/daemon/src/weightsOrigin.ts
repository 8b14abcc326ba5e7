import { setTimeout as delay } from 'node:timers/promises';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import type { Digest } from '@burdockrail/common/digest.js';
import type { WeightManifest } from '@burdockrail/protocol/protocolWeights.js';
import { checkManifest, chunkRange } from '@burdockrail/rollout/rolloutManifest.js';
import { Agent } from 'undici';
import { requestWhole, type WholeAnswer } from './wholeAnswer.js';

/** Largest accepted manifest or chunk, in bytes. */
const MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;

/** Timeout of a request to the weight store, in milliseconds. */
const STORE_TIMEOUT_MILLISECONDS = 5_000;

/** Time without any byte from the origin after which a read is aborted, in milliseconds. */
const ORIGIN_STALL_MILLISECONDS = 3_000;

/** Delay after a 429 response without a valid `retry-after` header, in milliseconds. */
const DEFAULT_STORE_RETRY_MILLISECONDS = 500;

const MILLISECONDS_PER_SECOND = 1_000;
const HTTP_OK = 200;
const HTTP_PARTIAL_CONTENT = 206;
const HTTP_NOT_FOUND = 404;
const HTTP_TOO_MANY_REQUESTS = 429;

/** Client of the weight store, which serves manifests, and the origin, which serves chunks. */
export interface WeightsOrigin extends AsyncDisposable {
  /** Fetches a manifest; retries after the requested delay while the store limits the rate. */
  fetchManifest(
    model: string,
    version: string,
    expectedDigest: Digest | undefined,
    signal: AbortSignal,
  ): Promise<WeightManifest>;
  /** Reads one chunk without verifying it. */
  fetchChunk(manifest: WeightManifest, index: number, signal: AbortSignal): Promise<Buffer>;
}

/** Options of {@link createWeightsOrigin}. */
export interface WeightsOriginOptions {
  readonly weightStore: string;
  readonly origin: string;
  /** Local IP address of connections. */
  readonly localAddress: string;
}

function retryAfterMilliseconds(response: WholeAnswer): number {
  const seconds = Number(response.headers['retry-after']);
  return seconds > 0 ? seconds * MILLISECONDS_PER_SECOND : DEFAULT_STORE_RETRY_MILLISECONDS;
}

function toOriginError(error: unknown): ResultError {
  if (error instanceof ResultError) return error;
  const reason = error instanceof Error ? error.message : String(error);
  return new ResultError(ResultCode.OriginUnreachable, reason);
}

/** Creates a client of the weight store and the origin. */
export function createWeightsOrigin(options: WeightsOriginOptions): WeightsOrigin {
  const dispatcher = new Agent({
    connect: { localAddress: options.localAddress },
    headersTimeout: ORIGIN_STALL_MILLISECONDS,
    bodyTimeout: ORIGIN_STALL_MILLISECONDS,
  });

  const request = async (
    url: URL,
    headers: Readonly<Record<string, string>>,
    signal: AbortSignal,
  ): Promise<WholeAnswer> =>
    requestWhole(
      dispatcher,
      { origin: url.origin, path: `${url.pathname}${url.search}`, method: 'GET', headers },
      MAXIMUM_ANSWER_BYTES,
      signal,
    );

  const requestFromStore = async (
    url: URL,
    signal: AbortSignal,
  ): Promise<{ readonly body: unknown } | { readonly waitMilliseconds: number }> => {
    const boundedSignal = AbortSignal.any([
      signal,
      AbortSignal.timeout(STORE_TIMEOUT_MILLISECONDS),
    ]);
    const response = await request(url, {}, boundedSignal);
    if (response.status === HTTP_OK) {
      return { body: JSON.parse(response.body.toString('utf8')) as unknown };
    }
    if (response.status === HTTP_TOO_MANY_REQUESTS)
      return { waitMilliseconds: retryAfterMilliseconds(response) };
    const code =
      response.status === HTTP_NOT_FOUND
        ? ResultCode.VersionNotInStore
        : ResultCode.OriginUnreachable;
    throw new ResultError(code, `the weight store answered with status ${response.status}`);
  };

  const fetchManifest: WeightsOrigin['fetchManifest'] = async (
    model,
    version,
    expectedDigest,
    signal,
  ) => {
    const path = `/models/${encodeURIComponent(model)}/versions/${encodeURIComponent(version)}`;
    const url = new URL(`${options.weightStore.replace(/\/$/u, '')}${path}/manifest`);
    for (;;) {
      const answer = await requestFromStore(url, signal);
      if ('body' in answer) {
        const checked = checkManifest(answer.body, model, version, expectedDigest);
        if (checked.kind === 'failure') throw new ResultError(checked.code, checked.detail);
        return checked.value;
      }
      await delay(answer.waitMilliseconds, undefined, { signal });
    }
  };

  const fetchChunk: WeightsOrigin['fetchChunk'] = async (manifest, index, signal) => {
    const path = `/weights/${encodeURIComponent(manifest.model)}/${encodeURIComponent(manifest.version)}`;
    const url = new URL(`${options.origin.replace(/\/$/u, '')}${path}`);
    const { start, end } = chunkRange(manifest, index);
    const response = await request(url, { range: `bytes=${start}-${end - 1}` }, signal);
    if (response.status !== HTTP_PARTIAL_CONTENT) {
      const detail = `the origin answered with status ${response.status}`;
      throw new ResultError(ResultCode.OriginUnreachable, detail);
    }
    return response.body;
  };

  return {
    fetchManifest: async (...parameters) => {
      try {
        return await fetchManifest(...parameters);
      } catch (error) {
        throw toOriginError(error);
      }
    },
    fetchChunk: async (...parameters) => {
      try {
        return await fetchChunk(...parameters);
      } catch (error) {
        throw toOriginError(error);
      }
    },
    [Symbol.asyncDispose]: async () => {
      await dispatcher.destroy();
    },
  };
}
