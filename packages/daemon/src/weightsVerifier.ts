import { createHash } from 'node:crypto';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import type { WeightManifest } from '@burdockrail/protocol/protocolWeights.js';
import { isChunk } from '@burdockrail/rollout/rolloutManifest.js';
import type { EngineClient } from './engineClient.js';
import type { ChunkStore } from './weightsStore.js';

/** Maximum number of chunks that are read back concurrently. */
const MAXIMUM_PARALLEL_READS = 8;

/** Number of reads of a chunk before the engine's copy is considered missing or corrupt. */
const READS_PER_CHUNK = 2;

async function readVerified(
  engine: EngineClient,
  manifest: WeightManifest,
  index: number,
): Promise<Buffer | null> {
  for (let attempt = 0; attempt < READS_PER_CHUNK; attempt += 1) {
    const bytes = await engine.readStagedChunk(manifest.digest, index);
    if (bytes !== null && isChunk(manifest, index, bytes)) return bytes;
  }
  return null;
}

/**
 * Reads a version back from the engine during its transfer and verifies its digest.
 *
 * @remarks
 * The engine does not verify the weights that it serves, so the engine's own copy is read back.
 * Chunks are read in order, each as soon as all previous ones are staged, so that little work is
 * left after the last one has arrived.
 *
 * @param onMismatch - called with a chunk whose copy in the engine is missing or corrupt.
 * @throws {@link ResultError} with `WeightsIncomplete` if all chunks match but the digest of the
 * version does not, which means that the manifest is wrong.
 */
export async function verifyStagedVersion(
  engine: EngineClient,
  store: ChunkStore,
  manifest: WeightManifest,
  signal: AbortSignal,
  onMismatch: (index: number) => void,
): Promise<void> {
  let wake: () => void = () => undefined;
  const unsubscribe = store.watch(manifest.digest, () => {
    wake();
  });
  const onAbort = (): void => {
    wake();
  };
  signal.addEventListener('abort', onAbort);
  const versionHash = createHash('sha256');
  const pendingReads = new Map<number, Promise<Buffer | null>>();
  const readAhead = (from: number): void => {
    const held = store.held(manifest.digest);
    for (let index = from; index < from + MAXIMUM_PARALLEL_READS && held.has(index); index += 1) {
      if (pendingReads.has(index)) continue;
      const pendingRead = readVerified(engine, manifest, index);
      // Prevents an unhandled rejection; the error is handled when the read is awaited, if it is.
      pendingRead.catch(() => undefined);
      pendingReads.set(index, pendingRead);
    }
  };
  try {
    for (let index = 0; index < manifest.chunks.length;) {
      signal.throwIfAborted();
      readAhead(index);
      const pendingRead = pendingReads.get(index);
      if (pendingRead === undefined) {
        await new Promise<void>((resolve) => {
          wake = resolve;
        });
        continue;
      }
      const bytes = await pendingRead;
      pendingReads.delete(index);
      if (bytes === null) {
        store.markMissing(manifest.digest, index);
        onMismatch(index);
        continue;
      }
      versionHash.update(bytes);
      index += 1;
    }
  } finally {
    signal.removeEventListener('abort', onAbort);
    unsubscribe();
    await Promise.allSettled(pendingReads.values());
  }
  if (versionHash.digest('hex') === manifest.digest) return;
  throw new ResultError(
    ResultCode.WeightsIncomplete,
    'all chunks match, but the digest of the version does not',
  );
}

/** Approximate number of chunks probed first; if the engine holds none, it is considered empty. */
const PROBED_CHUNKS = 16;

async function searchChunks(
  engine: EngineClient,
  store: ChunkStore,
  manifest: WeightManifest,
  indices: Iterator<number>,
  signal: AbortSignal,
): Promise<void> {
  const searchWorker = async (): Promise<void> => {
    for (let next = indices.next(); next.done !== true; next = indices.next()) {
      signal.throwIfAborted();
      const index = next.value;
      if (store.held(manifest.digest).has(index)) continue;
      const bytes = await engine.readStagedChunk(manifest.digest, index);
      if (bytes !== null && isChunk(manifest, index, bytes)) store.markHeld(manifest, index);
    }
  };
  await Promise.all(Array.from({ length: MAXIMUM_PARALLEL_READS }, searchWorker));
}

/**
 * Finds and verifies the chunks of a version that the engine already holds.
 *
 * @remarks
 * After a restart of the agent or its engine, the store does not know them. Usually the engine is
 * empty, which must not cost a request for each chunk; so a sample is probed first.
 */
export async function findStagedChunks(
  engine: EngineClient,
  store: ChunkStore,
  manifest: WeightManifest,
  signal: AbortSignal,
): Promise<void> {
  const count = manifest.chunks.length;
  const stride = Math.max(1, Math.floor(count / PROBED_CHUNKS));
  const probed = [...manifest.chunks.keys()].filter((index) => index % stride === 0);
  await searchChunks(engine, store, manifest, probed.values(), signal);
  if (store.held(manifest.digest).size === 0) return;
  await searchChunks(engine, store, manifest, manifest.chunks.keys(), signal);
}
