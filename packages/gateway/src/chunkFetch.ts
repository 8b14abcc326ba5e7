import { setTimeout as pause } from 'node:timers/promises';
import { formatAddress } from '@burdockrail/protocol/protocolAddress.js';
import { chunkSources, type ChunkHolder, type ChunkSource } from '@burdockrail/rollout/chunkSources.js';
import type { HttpCaller } from './engineClient.js';
import type { GatewayContext } from './gatewayContext.js';
import type { StagedChunks } from './stagedChunks.js';
import { parseAddress } from './controlAddresses.js';

/** Chunks that are fetched at the same time: enough to fill a thin link over a short delay. */
const FETCHES_AT_ONCE = 5;

/** Bound on one fetch from an agent, in milliseconds; an owner may be fetching the chunk itself. */
const AGENT_MILLISECONDS = 1_500;

/** Bound on one fetch from the origin, in milliseconds: all agents share its link at first. */
const ORIGIN_MILLISECONDS = 4_000;

/** Pause after all sources of a chunk failed, in milliseconds. */
const RETRY_PAUSE_MILLISECONDS = 150;

const SUCCESS_STATUS = 200;

/** What fetching depends on. */
export interface ChunkFetchOptions {
  readonly context: GatewayContext;
  readonly staged: StagedChunks;
  readonly origin: HttpCaller | null;
  readonly self: string;
  readonly agents: () => readonly ChunkHolder[];
  /** Aborted when another version has to be fetched, or the engine restarted. */
  readonly signal: AbortSignal;
}

/** Fetches all chunks that are not staged and verified yet; resolves early when aborted. */
export async function fetchChunks(options: ChunkFetchOptions): Promise<void> {
  const { context, staged, origin, self, signal } = options;
  const { client, settings, log, metrics, dialect } = context;
  const { model, version, manifest } = staged;
  const isAborted = (): boolean => signal.aborted;

  const sourcesOf = (chunk: number): readonly ChunkSource[] =>
    chunkSources({
      self,
      region: settings.region,
      chunk: `${model} ${version} ${chunk}`,
      agents: options.agents(),
    });

  const fromOrigin = async (chunk: number): Promise<Uint8Array | null> => {
    if (origin === null) return null;
    const request = dialect.weights.originChunk(model, version, chunk);
    const { status, body } = await origin.call(request, ORIGIN_MILLISECONDS);
    return status === SUCCESS_STATUS ? body : null;
  };

  const fromAgent = async (agent: string, chunk: number): Promise<Uint8Array | null> => {
    const bound = { timeoutMilliseconds: AGENT_MILLISECONDS, signal };
    const connection = client.to(parseAddress(agent));
    const reply = await connection.call('chunk.read', { model, version, chunk }, bound);
    return reply.bytes;
  };

  const fetchFrom = async (source: ChunkSource, chunk: number): Promise<boolean> => {
    const name = source.kind === 'origin' ? 'origin' : source.agent;
    try {
      const bytes =
        source.kind === 'origin' ? await fromOrigin(chunk) : await fromAgent(source.agent, chunk);
      if (bytes === null || isAborted()) return false;
      const isSound = await staged.write(chunk, bytes);
      metrics.count('burdockrail_chunks_total', { source: source.kind, sound: String(isSound) });
      if (!isSound) log.write('chunkRejected', { model, version, chunk, source: name });
      return isSound;
    } catch (error) {
      if (!isAborted()) {
        log.write('rolloutFailed', { model, version, chunk, source: name, reason: String(error) });
      }
      return false;
    }
  };

  const fetchOne = async (chunk: number): Promise<void> => {
    while (!isAborted() && !staged.verified.has(chunk)) {
      for (const source of sourcesOf(chunk)) {
        if (isAborted() || (await fetchFrom(source, chunk))) return;
      }
      await pause(RETRY_PAUSE_MILLISECONDS);
    }
  };

  const missing = manifest.digests
    .map((_digest, chunk) => chunk)
    .filter((chunk) => !staged.verified.has(chunk));
  // Chunks that others wait for come first.
  const own = missing.filter((chunk) => sourcesOf(chunk)[0]?.kind === 'origin');
  const rest = missing.filter((chunk) => !own.includes(chunk));
  const start = rest.length === 0 ? 0 : context.random.below(rest.length);
  const queue = [...own, ...rest.slice(start), ...rest.slice(0, start)];
  const worker = async (): Promise<void> => {
    for (let chunk = queue.shift(); chunk !== undefined && !isAborted(); chunk = queue.shift()) {
      await fetchOne(chunk);
    }
  };
  await Promise.all(Array.from({ length: FETCHES_AT_ONCE }, worker));
}

/** Internal address of an agent on the machine of an engine. */
export function agentAddress(engineAddress: string, port: number): string {
  return formatAddress({ host: parseAddress(engineAddress).host, port });
}
