import type { Digest } from '@burdockrail/common/digest.js';

/** Chunks in memory that were used last, up to a bound on their bytes. */
export interface ChunkCache {
  get(chunk: Digest): Buffer | undefined;
  put(chunk: Digest, bytes: Buffer): void;
}

/** Creates an empty cache. */
export function createChunkCache(maximumBytes: number): ChunkCache {
  const chunks = new Map<Digest, Buffer>();
  let size = 0;

  const remove = (chunk: Digest): void => {
    size -= chunks.get(chunk)?.length ?? 0;
    chunks.delete(chunk);
  };

  return {
    get: (chunk) => {
      const bytes = chunks.get(chunk);
      if (bytes === undefined) return undefined;
      chunks.delete(chunk);
      chunks.set(chunk, bytes);
      return bytes;
    },
    put: (chunk, bytes) => {
      remove(chunk);
      chunks.set(chunk, bytes);
      size += bytes.length;
      for (const oldest of chunks.keys()) {
        if (size <= maximumBytes) return;
        remove(oldest);
      }
    },
  };
}
