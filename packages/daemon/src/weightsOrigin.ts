import { setTimeout as delay } from 'node:timers/promises';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import type { Digest } from '@burdockrail/common/digest.js';
import type { WeightManifest } from '@burdockrail/protocol/protocolWeights.js';
import { checkManifest, chunkRange } from '@burdockrail/rollout/rolloutManifest.js';
import { Agent, type Dispatcher } from 'undici';

/** Bound on a question to the weight store, in milliseconds. */
const MANIFEST_TIMEOUT_MILLISECONDS = 5_000;

/** Time without any byte from the origin after which a read is given up, in milliseconds. */
const ORIGIN_STALL_MILLISECONDS = 3_000;

/** Wait before the store is asked again when it names no time, in milliseconds. */
const STORE_RETRY_MILLISECONDS = 500;

const MILLISECONDS_PER_SECOND = 1_000;
const HTTP_OK = 200;
const HTTP_PARTIAL = 206;
const HTTP_NOT_FOUND = 404;
const HTTP_TOO_MANY = 429;

/** The weight store and the origin that the settings name. */
export interface WeightsOrigin extends AsyncDisposable {
  /** Fetches a manifest; waits as long as the store asks for when it limits the rate. */
  manifest(
    model: string,
    version: string,
    expectedDigest: Digest | undefined,
    signal: AbortSignal,
  ): Promise<WeightManifest>;
  /** Reads the bytes of one chunk, unverified. */
  chunk(manifest: WeightManifest, index: number, signal: AbortSignal): Promise<Buffer>;
}

/** Options of {@link createWeightsOrigin}. */
export interface WeightsOriginOptions {
  readonly weightStore: string;
  readonly origin: string;
  /** IP number to connect from. */
  readonly localAddress: string;
}

function retryAfter(response: Dispatcher.ResponseData): number {
  const seconds = Number(response.headers['retry-after']);
  return seconds > 0 ? seconds * MILLISECONDS_PER_SECOND : STORE_RETRY_MILLISECONDS;
}

function unreachable(error: unknown): ResultError {
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
  ): Promise<Dispatcher.ResponseData> =>
    dispatcher.request({
      origin: url.origin,
      path: `${url.pathname}${url.search}`,
      method: 'GET',
      headers: { ...headers },
      signal,
    });

  const askStore = async (
    url: URL,
    signal: AbortSignal,
  ): Promise<{ readonly body: unknown } | { readonly waitMilliseconds: number }> => {
    const bound = AbortSignal.any([signal, AbortSignal.timeout(MANIFEST_TIMEOUT_MILLISECONDS)]);
    const response = await request(url, {}, bound);
    if (response.statusCode === HTTP_OK) return { body: await response.body.json() };
    await response.body.dump();
    if (response.statusCode === HTTP_TOO_MANY) return { waitMilliseconds: retryAfter(response) };
    const code =
      response.statusCode === HTTP_NOT_FOUND
        ? ResultCode.VersionNotInStore
        : ResultCode.OriginUnreachable;
    throw new ResultError(code, `the weight store answered with status ${response.statusCode}`);
  };

  const manifest: WeightsOrigin['manifest'] = async (model, version, expectedDigest, signal) => {
    const path = `/models/${encodeURIComponent(model)}/versions/${encodeURIComponent(version)}`;
    const url = new URL(`${options.weightStore.replace(/\/$/u, '')}${path}/manifest`);
    for (;;) {
      const answer = await askStore(url, signal);
      if ('body' in answer) {
        const checked = checkManifest(answer.body, model, version, expectedDigest);
        if (checked.kind === 'failure') throw new ResultError(checked.code, checked.detail);
        return checked.value;
      }
      await delay(answer.waitMilliseconds, undefined, { signal });
    }
  };

  const chunk: WeightsOrigin['chunk'] = async (held, index, signal) => {
    const path = `/weights/${encodeURIComponent(held.model)}/${encodeURIComponent(held.version)}`;
    const url = new URL(`${options.origin.replace(/\/$/u, '')}${path}`);
    const { start, end } = chunkRange(held, index);
    const response = await request(url, { range: `bytes=${start}-${end - 1}` }, signal);
    if (response.statusCode !== HTTP_PARTIAL) {
      await response.body.dump();
      const detail = `the origin answered with status ${response.statusCode}`;
      throw new ResultError(ResultCode.OriginUnreachable, detail);
    }
    return Buffer.from(await response.body.arrayBuffer());
  };

  return {
    manifest: async (...parameters) => {
      try {
        return await manifest(...parameters);
      } catch (error) {
        throw unreachable(error);
      }
    },
    chunk: async (...parameters) => {
      try {
        return await chunk(...parameters);
      } catch (error) {
        throw unreachable(error);
      }
    },
    [Symbol.asyncDispose]: async () => {
      await dispatcher.destroy();
    },
  };
}
