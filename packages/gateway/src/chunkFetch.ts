import { setTimeout as pause } from 'node:timers/promises';
import { createByteCollector } from '@burdockrail/common/byteCollector.js';
import { formatAddress } from '@burdockrail/protocol/protocolAddress.js';
import { unpackChunks } from '@burdockrail/rollout/chunkBits.js';
import type { ChunkFetch, ChunkSource } from '@burdockrail/rollout/chunkChoice.js';
import type { ChunkPeer } from '@burdockrail/rollout/chunkRanking.js';
import { createChunkPlanner } from '@burdockrail/rollout/chunkPlanner.js';
import type { Pacer } from '@burdockrail/rollout/rolloutPacer.js';
import { parseAddress } from './controlAddresses.js';
import type { HttpClient } from './httpClient.js';
import type { GatewayContext } from './gatewayContext.js';
import type { VersionChunks } from './versionChunks.js';

/** Concurrent fetch loops; the planner decides how many of them are active. */
const WORKERS = 8;

/** Largest accepted chunk of another agent, in bytes. */
const MAXIMUM_CHUNK_BYTES = 8 * 1024 * 1024;

/** Timeout of a fetch from an agent, in milliseconds: several chunks on a slow link. */
const AGENT_TIMEOUT_MILLISECONDS = 1_000;

/** Initial timeout of a fetch from the origin, whose link all agents share, in milliseconds. */
const ORIGIN_TIMEOUT_MILLISECONDS = 1_500;

/**
 * Maximum timeout of a fetch from the origin, in milliseconds; the timeout doubles with each failure
 * in case the origin is slow.
 */
const MAXIMUM_ORIGIN_TIMEOUT_MILLISECONDS = 6_000;

/** Timeout of a query for the chunks that an agent holds, in milliseconds. */
const LIST_TIMEOUT_MILLISECONDS = 300;

/**
 * Time for which no worker plans after one found nothing to fetch, in milliseconds: looking through
 * all agents and chunks is costly.
 */
const REPLAN_MILLISECONDS = 15;

/** Maximum delay between checks for work, in milliseconds. */
const IDLE_DELAY_MILLISECONDS = 20;

const SUCCESS_STATUS = 200;

/** Options of {@link fetchChunks}. */
export interface ChunkFetchOptions {
  readonly context: GatewayContext;
  readonly chunks: VersionChunks;
  readonly origin: HttpClient | null;
  readonly self: string;
  readonly peers: () => readonly ChunkPeer[];
  /** Limits downloads to the weights' share of the link. */
  readonly pacer: Pacer;
  /** Bandwidth available for weights on another agent's link, in bytes per second. */
  readonly peerBytesPerSecond: number;
  /** True while requests share this agent's link. */
  readonly sharesLink: () => boolean;
  /** Called repeatedly while nothing can arrive until the origin is back. */
  readonly onStarved: () => void;
  /** Aborts when another version is to be fetched. */
  readonly signal: AbortSignal;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Fetches all chunks that are not held yet; resolves early when aborted. */
export async function fetchChunks(options: ChunkFetchOptions): Promise<void> {
  const { context, chunks, origin, self, signal, pacer } = options;
  const { client, settings, log, metrics, dialect, time } = context;
  const { model, version, manifest } = chunks;
  const planner = createChunkPlanner(
    {
      versionKey: `${model} ${version}`,
      self: { agent: self, region: settings.region },
      others: options.peers,
      chunkMilliseconds: () =>
        (chunks.largestChunkBytes * MILLISECONDS_PER_SECOND) / options.peerBytesPerSecond,
      sharesLink: options.sharesLink,
    },
    time.now(),
  );
  let originTimeoutMilliseconds = ORIGIN_TIMEOUT_MILLISECONDS;
  const isFinished = (): boolean => signal.aborted || chunks.isComplete;

  const queryChunks = async (agent: string): Promise<void> => {
    try {
      const callOptions = { timeoutMilliseconds: LIST_TIMEOUT_MILLISECONDS };
      const connection = client.connectionTo(parseAddress(agent));
      const { held, queuedMilliseconds } = await connection.call(
        'chunk.list',
        { model, version },
        callOptions,
      );
      planner.recordInventory(agent, { held: unpackChunks(held), queuedMilliseconds }, time.now());
    } catch {
      // An agent that does not answer has no chunks to offer.
      planner.recordInventory(agent, null, time.now());
    }
  };

  const pollPeers = async (): Promise<void> => {
    while (!isFinished()) {
      for (const agent of planner.agentsToPoll(time.now())) void queryChunks(agent);
      await pause(IDLE_DELAY_MILLISECONDS);
    }
  };

  const readFromAgent = async (agent: string, chunk: number): Promise<Uint8Array> => {
    const received = createByteCollector({ maximumBytes: MAXIMUM_CHUNK_BYTES });
    const connection = client.connectionTo(parseAddress(agent));
    const callOptions = { timeoutMilliseconds: AGENT_TIMEOUT_MILLISECONDS, signal };
    const stream = connection.stream('chunk.read', { model, version, chunk }, callOptions);
    for await (const part of stream)
      if (!received.add(part)) throw new Error('the chunk exceeds the size limit');
    return received.take();
  };

  const readFromOrigin = async (chunk: number): Promise<Uint8Array | null> => {
    if (origin === null) return null;
    const request = dialect.weights.originChunk(model, version, chunk);
    const timeoutMilliseconds = originTimeoutMilliseconds;
    originTimeoutMilliseconds = Math.min(
      MAXIMUM_ORIGIN_TIMEOUT_MILLISECONDS,
      timeoutMilliseconds * 2,
    );
    const { status, body } = await origin.call(request, timeoutMilliseconds);
    originTimeoutMilliseconds = timeoutMilliseconds;
    return status === SUCCESS_STATUS ? body : null;
  };

  const read = async (source: ChunkSource, chunk: number): Promise<Uint8Array | null> =>
    source.kind === 'agent' ? readFromAgent(source.agent, chunk) : readFromOrigin(chunk);

  const fetchOne = async (fetch: ChunkFetch): Promise<void> => {
    const { chunk, source } = fetch;
    const name = source.kind === 'origin' ? 'origin' : source.agent;
    let isValid = false;
    try {
      const bytes = await read(source, chunk);
      if (signal.aborted) return;
      isValid = bytes !== null && (await chunks.add(chunk, bytes));
      metrics.count('burdockrail_chunks_total', { source: source.kind, sound: String(isValid) });
      if (!isValid) {
        const receivedBytes = bytes?.length ?? 0;
        log.write('chunkRejected', { model, version, chunk, source: name, bytes: receivedBytes });
      }
    } catch (error) {
      if (signal.aborted) return;
      log.write('rolloutFailed', { model, version, chunk, source: name, reason: String(error) });
    } finally {
      planner.recordFetchEnd(fetch, isValid, time.now());
    }
  };

  const startChunk = context.random.nextInteger(Math.max(1, manifest.digests.length));
  const fetchOrder = manifest.digests.map(
    (_digest, chunk) => (chunk + startChunk) % manifest.digests.length,
  );

  let replanAt = Number.NEGATIVE_INFINITY;
  const worker = async (): Promise<void> => {
    while (!isFinished()) {
      const waitMilliseconds = pacer.waitMilliseconds(time.now());
      if (waitMilliseconds > 0 || !chunks.acceptsChunks || time.now() < replanAt) {
        await pause(IDLE_DELAY_MILLISECONDS);
        continue;
      }
      const missingChunks = fetchOrder.filter((chunk) => !chunks.held.has(chunk));
      const nextFetch = planner.next(missingChunks, time.now());
      if (nextFetch === null) {
        replanAt = time.now() + REPLAN_MILLISECONDS;
        if (planner.isStarved(missingChunks, time.now())) options.onStarved();
        await pause(IDLE_DELAY_MILLISECONDS);
        continue;
      }
      pacer.reserve(chunks.largestChunkBytes, time.now());
      await fetchOne(nextFetch);
      replanAt = Number.NEGATIVE_INFINITY;
    }
  };
  await Promise.all([pollPeers(), ...Array.from({ length: WORKERS }, worker)]);
}

/** Internal address of the agent on an engine's machine. */
export function agentAddress(engineAddress: string, port: number): string {
  return formatAddress({ host: parseAddress(engineAddress).host, port });
}
