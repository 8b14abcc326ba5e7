import { createHash } from 'node:crypto';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import type { WeightManifest } from '@burdockrail/protocol/protocolWeights.js';
import { isChunk } from '@burdockrail/rollout/rolloutManifest.js';
import type { EngineClient } from './engineClient.js';
import type { ChunkStore } from './weightsStore.js';

/** Chunks that are read back at the same time. */
const PARALLEL_READS = 8;

/** Times that a chunk is read back before the engine's copy counts as wrong. */
const READS_PER_CHUNK = 2;

async function engineHolds(
  engine: EngineClient,
  manifest: WeightManifest,
  index: number,
): Promise<Buffer | null> {
  for (let reads = 0; reads < READS_PER_CHUNK; reads += 1) {
    const bytes = await engine.readBack(manifest.digest, index);
    if (bytes !== null && isChunk(manifest, index, bytes)) return bytes;
  }
  return null;
}

/**
 * Reads a version back from the engine while it arrives and checks it as a whole.
 *
 * @remarks
 * The engine serves what it holds without checking it, so the check is of the engine's own copy.
 * Chunks are read in order, each as soon as all before it are staged, so that little is left to
 * do after the last one arrived. Rejects with `WeightsIncomplete` when all chunks are right and the
 * whole is not, which means that the manifest is wrong.
 *
 * @param lost - called with a chunk that the engine does not hold as it should.
 */
export async function verifyArriving(
  engine: EngineClient,
  store: ChunkStore,
  manifest: WeightManifest,
  signal: AbortSignal,
  lost: (index: number) => void,
): Promise<void> {
  let wake: () => void = () => undefined;
  const release = store.watch(manifest.digest, () => {
    wake();
  });
  const onAbort = (): void => {
    wake();
  };
  signal.addEventListener('abort', onAbort);
  const whole = createHash('sha256');
  const ahead = new Map<number, Promise<Buffer | null>>();
  const readAhead = (from: number): void => {
    const held = store.held(manifest.digest);
    for (let index = from; index < from + PARALLEL_READS && held.has(index); index += 1) {
      if (ahead.has(index)) continue;
      const reading = engineHolds(engine, manifest, index);
      // A read that fails before its turn is judged when its turn comes, if it ever does.
      reading.catch(() => undefined);
      ahead.set(index, reading);
    }
  };
  try {
    for (let index = 0; index < manifest.chunks.length;) {
      signal.throwIfAborted();
      readAhead(index);
      const reading = ahead.get(index);
      if (reading === undefined) {
        await new Promise<void>((resolve) => {
          wake = resolve;
        });
        continue;
      }
      const bytes = await reading;
      ahead.delete(index);
      if (bytes === null) {
        store.discard(manifest.digest, index);
        lost(index);
        continue;
      }
      whole.update(bytes);
      index += 1;
    }
  } finally {
    signal.removeEventListener('abort', onAbort);
    release();
    await Promise.allSettled(ahead.values());
  }
  if (whole.digest('hex') === manifest.digest) return;
  throw new ResultError(ResultCode.WeightsIncomplete, 'the whole digest differs');
}

/** Chunks that are looked at first; when the engine holds none of them, it is taken as empty. */
const PROBED_CHUNKS = 16;

async function findAmong(
  engine: EngineClient,
  store: ChunkStore,
  manifest: WeightManifest,
  indices: Iterator<number>,
  signal: AbortSignal,
): Promise<void> {
  const search = async (): Promise<void> => {
    for (let next = indices.next(); next.done !== true; next = indices.next()) {
      signal.throwIfAborted();
      const index = next.value;
      if (store.held(manifest.digest).has(index)) continue;
      const bytes = await engine.readBack(manifest.digest, index);
      if (bytes !== null && isChunk(manifest, index, bytes)) store.found(manifest, index);
    }
  };
  await Promise.all(Array.from({ length: PARALLEL_READS }, search));
}

/**
 * Finds which chunks of a version the engine holds already.
 *
 * @remarks
 * An agent that restarted, or whose engine did, does not know; every chunk found is verified. An
 * empty engine is the usual case and must not cost a question for each chunk.
 */
export async function findStaged(
  engine: EngineClient,
  store: ChunkStore,
  manifest: WeightManifest,
  signal: AbortSignal,
): Promise<void> {
  const count = manifest.chunks.length;
  const stride = Math.max(1, Math.floor(count / PROBED_CHUNKS));
  const probed = [...manifest.chunks.keys()].filter((index) => index % stride === 0);
  await findAmong(engine, store, manifest, probed.values(), signal);
  if (store.held(manifest.digest).size === 0) return;
  await findAmong(engine, store, manifest, manifest.chunks.keys(), signal);
}
