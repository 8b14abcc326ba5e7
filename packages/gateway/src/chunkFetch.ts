import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { formatAddress } from '@burdockrail/protocol/protocolAddress.js';
import {
  nextChunkFetch,
  type ChunkFetch,
  type ChunkHolder,
  type ChunkSource,
} from '@burdockrail/rollout/chunkChoice.js';
import type { Pacer } from '@burdockrail/rollout/rolloutPacer.js';
import { parseAddress } from './controlAddresses.js';
import type { HttpCaller } from './engineClient.js';
import type { GatewayContext } from './gatewayContext.js';
import type { StagedChunks } from './stagedChunks.js';

/** Chunks that are fetched at the same time: enough to fill a thin link over a short delay. */
const FETCHES_AT_ONCE = 3;

/** Bound on one fetch from an agent, in milliseconds: some chunks of a thin link. */
const AGENT_MILLISECONDS = 700;

/** Bound on one fetch from the origin, in milliseconds: all agents share its link at first. */
const ORIGIN_MILLISECONDS = 4_000;

/** Interval at which other agents are asked what they hold, in milliseconds. */
const LIST_MILLISECONDS = 80;

/** Bound on such a question, in milliseconds. */
const LIST_ANSWER_MILLISECONDS = 500;

/** Pause while nothing can be fetched, in milliseconds. */
const IDLE_PAUSE_MILLISECONDS = 20;

/**
 * Time for which an agent that failed a fetch is left out at first, in milliseconds.
 *
 * Others then take over its part of the plan, so that a squeezed link does not hold up everyone.
 */
const AVOID_MILLISECONDS = 1_500;

/** Longest such time; it doubles with each failure in a row. */
const LONGEST_AVOID_MILLISECONDS = 12_000;

const SUCCESS_STATUS = 200;
const BITS_PER_BYTE = 8;

/** Another agent that takes part in bringing up a version. */
export interface FetchPeer {
  readonly agent: string;
  readonly region: string;
}

/** What fetching depends on. */
export interface ChunkFetchOptions {
  readonly context: GatewayContext;
  readonly staged: StagedChunks;
  readonly origin: HttpCaller | null;
  readonly self: string;
  readonly peers: () => readonly FetchPeer[];
  /** Keeps what comes in to the part of the link that weights may use. */
  readonly pacer: Pacer;
  /** Aborted when another version has to be fetched, or the engine restarted. */
  readonly signal: AbortSignal;
}

/** Chunks as bits, the lowest bit of the first byte first. */
export function packChunks(chunks: ReadonlySet<number>, count: number): Uint8Array {
  const bits = new Uint8Array(Math.ceil(count / BITS_PER_BYTE));
  for (const chunk of chunks) {
    const byte = Math.floor(chunk / BITS_PER_BYTE);
    bits[byte] = (bits[byte] ?? 0) | (1 << (chunk % BITS_PER_BYTE));
  }
  return bits;
}

function unpackChunks(bits: Uint8Array): ReadonlySet<number> {
  const chunks = new Set<number>();
  bits.forEach((byte, place) => {
    for (let bit = 0; bit < BITS_PER_BYTE; bit += 1) {
      if ((byte & (1 << bit)) !== 0) chunks.add(place * BITS_PER_BYTE + bit);
    }
  });
  return chunks;
}

/** Fetches all chunks that are not staged and verified yet; resolves early when aborted. */
export async function fetchChunks(options: ChunkFetchOptions): Promise<void> {
  const { context, staged, origin, self, signal } = options;
  const { client, settings, log, metrics, dialect, time } = context;
  const { model, version, manifest } = staged;
  const held = new Map<string, ReadonlySet<number>>();
  const busy = new Map<string, number>();
  const avoided = new Map<string, { readonly until: Milliseconds; readonly length: number }>();
  const fetching = new Set<number>();
  let fromOrigin = 0;
  let lastChunkAt = time.now();
  const isOver = (): boolean => signal.aborted || staged.verified.size === manifest.digests.length;

  const askWhatPeersHold = async (): Promise<void> => {
    while (!isOver()) {
      for (const { agent } of options.peers()) {
        client
          .to(parseAddress(agent))
          .call('chunk.list', { model, version }, { timeoutMilliseconds: LIST_ANSWER_MILLISECONDS })
          .then((reply) => held.set(agent, unpackChunks(reply.held)))
          // An agent that does not answer offers nothing.
          .catch(() => held.delete(agent));
      }
      await pause(LIST_MILLISECONDS);
    }
  };

  const avoid = (agent: string): void => {
    const former = avoided.get(agent)?.length ?? AVOID_MILLISECONDS / 2;
    const length = Math.min(LONGEST_AVOID_MILLISECONDS, former * 2);
    avoided.set(agent, { until: time.now() + length, length });
  };

  const holders = (now: Milliseconds): readonly ChunkHolder[] =>
    options
      .peers()
      .filter(({ agent }) => (avoided.get(agent)?.until ?? 0) <= now)
      .map(({ agent, region }) => ({
        agent,
        region,
        held: held.get(agent) ?? new Set(),
        busy: busy.get(agent) ?? 0,
      }));

  const read = async (source: ChunkSource, chunk: number): Promise<Uint8Array | null> => {
    if (source.kind === 'agent') {
      const bound = { timeoutMilliseconds: AGENT_MILLISECONDS, signal };
      const connection = client.to(parseAddress(source.agent));
      return (await connection.call('chunk.read', { model, version, chunk }, bound)).bytes;
    }
    if (origin === null) return null;
    const request = dialect.weights.originChunk(model, version, chunk);
    const { status, body } = await origin.call(request, ORIGIN_MILLISECONDS);
    return status === SUCCESS_STATUS ? body : null;
  };

  const mark = (source: ChunkSource, step: number): void => {
    if (source.kind === 'origin') fromOrigin += step;
    else busy.set(source.agent, (busy.get(source.agent) ?? 0) + step);
  };

  const fetchOne = async ({ chunk, source }: ChunkFetch): Promise<void> => {
    const name = source.kind === 'origin' ? 'origin' : source.agent;
    fetching.add(chunk);
    mark(source, 1);
    try {
      const bytes = await read(source, chunk);
      if (signal.aborted) return;
      const isSound = bytes !== null && (await staged.write(chunk, bytes));
      metrics.count('burdockrail_chunks_total', { source: source.kind, sound: String(isSound) });
      if (isSound) {
        lastChunkAt = time.now();
        avoided.delete(name);
      } else {
        log.write('chunkRejected', { model, version, chunk, source: name, came: bytes !== null });
        avoid(name);
      }
    } catch (error) {
      if (signal.aborted) return;
      avoid(name);
      log.write('rolloutFailed', { model, version, chunk, source: name, reason: String(error) });
    } finally {
      mark(source, -1);
      fetching.delete(chunk);
    }
  };

  const first = context.random.below(Math.max(1, manifest.digests.length));
  const order = manifest.digests.map((_digest, chunk) => (chunk + first) % manifest.digests.length);
  const choose = (): ChunkFetch | null => {
    const now = time.now();
    return nextChunkFetch({
      self,
      region: settings.region,
      set: `${model} ${version}`,
      missing: order.filter((chunk) => !staged.verified.has(chunk) && !fetching.has(chunk)),
      others: holders(now),
      fromOrigin,
      idleMilliseconds: now - lastChunkAt,
    });
  };

  const worker = async (): Promise<void> => {
    while (!isOver()) {
      const next = choose();
      if (next === null) {
        await pause(IDLE_PAUSE_MILLISECONDS);
        continue;
      }
      const chunkBytes = staged.largestChunkBytes;
      const wait = options.pacer.reserve(chunkBytes, time.now());
      fetching.add(next.chunk);
      if (wait > 0) await pause(wait);
      await fetchOne(next);
    }
  };
  await Promise.all([askWhatPeersHold(), ...Array.from({ length: FETCHES_AT_ONCE }, worker)]);
}

/** Internal address of an agent on the machine of an engine. */
export function agentAddress(engineAddress: string, port: number): string {
  return formatAddress({ host: parseAddress(engineAddress).host, port });
}
