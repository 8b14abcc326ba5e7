import { setTimeout as pause } from 'node:timers/promises';
import { formatAddress } from '@burdockrail/protocol/protocolAddress.js';
import { unpackChunks } from '@burdockrail/rollout/chunkBits.js';
import type { ChunkFetch, ChunkSource } from '@burdockrail/rollout/chunkChoice.js';
import type { ChunkPeer } from '@burdockrail/rollout/chunkDuties.js';
import { createChunkPlanner } from '@burdockrail/rollout/chunkPlanner.js';
import type { Pacer } from '@burdockrail/rollout/rolloutPacer.js';
import { parseAddress } from './controlAddresses.js';
import type { HttpCaller } from './engineClient.js';
import type { GatewayContext } from './gatewayContext.js';
import type { StagedChunks } from './stagedChunks.js';

/** Loops that fetch chunks; the planner decides how many of them have one to fetch. */
const WORKERS = 8;

/** Bound on one fetch from an agent, in milliseconds: some chunks of a thin link. */
const AGENT_MILLISECONDS = 1_000;

/** Bound on one fetch from the origin at first, in milliseconds: all agents share its link. */
const ORIGIN_MILLISECONDS = 1_500;

/** Longest such bound; it doubles with each fetch that fails, for an origin that is slow. */
const LONGEST_ORIGIN_MILLISECONDS = 6_000;

/** Bound on the question what an agent holds, in milliseconds. */
const LIST_ANSWER_MILLISECONDS = 500;

/** Longest pause between two looks at what can be fetched or asked, in milliseconds. */
const PAUSE_MILLISECONDS = 20;

const SUCCESS_STATUS = 200;

/** What fetching depends on. */
export interface ChunkFetchOptions {
  readonly context: GatewayContext;
  readonly staged: StagedChunks;
  readonly origin: HttpCaller | null;
  readonly self: string;
  readonly peers: () => readonly ChunkPeer[];
  /** Keeps what comes in to the part of the link that weights may use. */
  readonly pacer: Pacer;
  /** Bytes that another agent's link takes in a second. */
  readonly peerBytesPerSecond: number;
  /** Aborted when another version has to be fetched, or the engine restarted. */
  readonly signal: AbortSignal;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Fetches all chunks that are not staged and verified yet; resolves early when aborted. */
export async function fetchChunks(options: ChunkFetchOptions): Promise<void> {
  const { context, staged, origin, self, signal, pacer } = options;
  const { client, settings, log, metrics, dialect, time } = context;
  const { model, version, manifest } = staged;
  const planner = createChunkPlanner(
    {
      set: `${model} ${version}`,
      self: { agent: self, region: settings.region },
      others: options.peers,
      chunkMilliseconds: () =>
        (staged.largestChunkBytes * MILLISECONDS_PER_SECOND) / options.peerBytesPerSecond,
    },
    time.now(),
  );
  let originBound = ORIGIN_MILLISECONDS;
  const isOver = (): boolean => signal.aborted || staged.verified.size === manifest.digests.length;

  const ask = async (agent: string): Promise<void> => {
    try {
      const bound = { timeoutMilliseconds: LIST_ANSWER_MILLISECONDS };
      const connection = client.to(parseAddress(agent));
      const { held, queuedMilliseconds } = await connection.call(
        'chunk.list',
        { model, version },
        bound,
      );
      planner.told(agent, { held: unpackChunks(held), queuedMilliseconds }, time.now());
    } catch {
      // An agent that does not answer offers nothing.
      planner.told(agent, null, time.now());
    }
  };

  const askWhatPeersHold = async (): Promise<void> => {
    while (!isOver()) {
      for (const agent of planner.toAsk(time.now())) void ask(agent);
      await pause(PAUSE_MILLISECONDS);
    }
  };

  const readFromAgent = async (agent: string, chunk: number): Promise<Uint8Array> => {
    const parts: Uint8Array[] = [];
    const connection = client.to(parseAddress(agent));
    const bound = { timeoutMilliseconds: AGENT_MILLISECONDS, signal };
    const stream = connection.stream('chunk.read', { model, version, chunk }, bound);
    for await (const part of stream) parts.push(part);
    return Buffer.concat(parts);
  };

  const readFromOrigin = async (chunk: number): Promise<Uint8Array | null> => {
    if (origin === null) return null;
    const request = dialect.weights.originChunk(model, version, chunk);
    const bound = originBound;
    originBound = Math.min(LONGEST_ORIGIN_MILLISECONDS, bound * 2);
    const { status, body } = await origin.call(request, bound);
    originBound = bound;
    return status === SUCCESS_STATUS ? body : null;
  };

  const read = async (source: ChunkSource, chunk: number): Promise<Uint8Array | null> =>
    source.kind === 'agent' ? readFromAgent(source.agent, chunk) : readFromOrigin(chunk);

  const fetchOne = async (fetch: ChunkFetch): Promise<void> => {
    const { chunk, source } = fetch;
    const name = source.kind === 'origin' ? 'origin' : source.agent;
    let isSound = false;
    try {
      const bytes = await read(source, chunk);
      if (signal.aborted) return;
      isSound = bytes !== null && (await staged.write(chunk, bytes));
      metrics.count('burdockrail_chunks_total', { source: source.kind, sound: String(isSound) });
      if (!isSound) {
        const bytesCame = bytes?.length ?? 0;
        log.write('chunkRejected', { model, version, chunk, source: name, bytes: bytesCame });
      }
    } catch (error) {
      if (signal.aborted) return;
      log.write('rolloutFailed', { model, version, chunk, source: name, reason: String(error) });
    } finally {
      planner.ended(fetch, isSound, time.now());
    }
  };

  const first = context.random.below(Math.max(1, manifest.digests.length));
  const order = manifest.digests.map((_digest, chunk) => (chunk + first) % manifest.digests.length);

  const worker = async (): Promise<void> => {
    while (!isOver()) {
      const wait = pacer.waitMilliseconds(time.now());
      if (wait > 0) {
        await pause(Math.min(PAUSE_MILLISECONDS, wait));
        continue;
      }
      const missing = order.filter((chunk) => !staged.verified.has(chunk));
      const next = planner.next(missing, time.now());
      if (next === null) {
        await pause(PAUSE_MILLISECONDS);
        continue;
      }
      pacer.reserve(staged.largestChunkBytes, time.now());
      await fetchOne(next);
    }
  };
  await Promise.all([askWhatPeersHold(), ...Array.from({ length: WORKERS }, worker)]);
}

/** Internal address of an agent on the machine of an engine. */
export function agentAddress(engineAddress: string, port: number): string {
  return formatAddress({ host: parseAddress(engineAddress).host, port });
}
