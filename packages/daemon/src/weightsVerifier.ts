import { createHash } from 'node:crypto';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import type { WeightManifest } from '@burdockrail/protocol/protocolWeights.js';
import { isChunk } from '@burdockrail/rollout/rolloutManifest.js';
import type { EngineClient } from './engineClient.js';
import type { ChunkStore } from './weightsStore.js';

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
  try {
    for (let index = 0; index < manifest.chunks.length;) {
      signal.throwIfAborted();
      if (!store.held(manifest.digest).has(index)) {
        await new Promise<void>((resolve) => {
          wake = resolve;
        });
        continue;
      }
      const bytes = await engineHolds(engine, manifest, index);
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
  }
  if (whole.digest('hex') === manifest.digest) return;
  throw new ResultError(ResultCode.WeightsIncomplete, 'the whole digest differs');
}

/** Chunks that are looked for at the same time. */
const PARALLEL_READS = 8;

/**
 * Finds which chunks of a version the engine holds already.
 *
 * @remarks
 * An agent that restarted, or whose engine did, does not know; every chunk found is verified.
 */
export async function findStaged(
  engine: EngineClient,
  store: ChunkStore,
  manifest: WeightManifest,
  signal: AbortSignal,
): Promise<void> {
  const indices = manifest.chunks.keys();
  const search = async (): Promise<void> => {
    for (const index of indices) {
      signal.throwIfAborted();
      if (store.held(manifest.digest).has(index)) continue;
      const bytes = await engine.readBack(manifest.digest, index);
      if (bytes !== null && isChunk(manifest, index, bytes)) store.found(manifest, index);
    }
  };
  await Promise.all(Array.from({ length: PARALLEL_READS }, search));
}
