import type { Digest } from '@burdockrail/common/digest.js';

/** LRU cache of chunks, bounded by their total size in bytes. */
export interface ChunkCache {
  get(chunk: Digest): Buffer | undefined;
  put(chunk: Digest, bytes: Buffer): void;
}

export function createChunkCache(maximumBytes: number): ChunkCache {
  const bytesByDigest = new Map<Digest, Buffer>();
  let totalBytes = 0;

  const remove = (chunk: Digest): void => {
    totalBytes -= bytesByDigest.get(chunk)?.length ?? 0;
    bytesByDigest.delete(chunk);
  };

  return {
    get: (chunk) => {
      const bytes = bytesByDigest.get(chunk);
      if (bytes === undefined) return undefined;
      bytesByDigest.delete(chunk);
      bytesByDigest.set(chunk, bytes);
      return bytes;
    },
    put: (chunk, bytes) => {
      remove(chunk);
      bytesByDigest.set(chunk, bytes);
      totalBytes += bytes.length;
      for (const oldest of bytesByDigest.keys()) {
        if (totalBytes <= maximumBytes) return;
        remove(oldest);
      }
    },
  };
}
