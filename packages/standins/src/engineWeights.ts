import { createHash } from 'node:crypto';
import type { Digest } from '@burdockrail/common/digest.js';

/** Order to an engine. */
export interface EngineOrder {
  readonly kind: 'load' | 'adapter' | 'version' | 'role';
  readonly digest: Digest;
  readonly size?: number;
  readonly chunks?: number;
  readonly model?: string;
  readonly version?: string;
  readonly adapter?: string;
  readonly fencing: number;
}

/** Staged chunks, loaded weights and adapters in the engine's memory. */
export interface EngineWeights {
  stage(digest: Digest, index: number, bytes: Buffer): void;
  stagedChunk(digest: Digest, index: number): Buffer | undefined;
  remove(digest: Digest): void;
  /**
   * Loads the staged chunks without verification.
   *
   * @returns digest of the loaded bytes, which reveals missing or corrupt chunks.
   */
  load(order: EngineOrder): Digest;
  addAdapter(order: EngineOrder): Digest;
  clear(): void;
  /** Digest of the loaded bytes; `null` if nothing is loaded. */
  readonly digest: Digest | null;
  readonly adapters: readonly string[];
}

/** Creates a memory without weights. */
export function createEngineWeights(): EngineWeights {
  const stagedChunks = new Map<Digest, Map<number, Buffer>>();
  const adapters = new Map<string, Digest>();
  let loadedDigest: Digest | null = null;

  const stagedDigest = (order: EngineOrder): Digest => {
    const chunks = [...(stagedChunks.get(order.digest)?.entries() ?? [])];
    chunks.sort(([left], [right]) => left - right);
    const hash = createHash('sha256');
    for (const [, bytes] of chunks) hash.update(bytes);
    return hash.digest('hex');
  };

  return {
    stage: (digest, index, bytes) => {
      const chunks = stagedChunks.get(digest) ?? new Map<number, Buffer>();
      stagedChunks.set(digest, chunks);
      chunks.set(index, bytes);
    },
    stagedChunk: (digest, index) => stagedChunks.get(digest)?.get(index),
    remove: (digest) => {
      stagedChunks.delete(digest);
    },
    load: (order) => {
      loadedDigest = stagedDigest(order);
      return loadedDigest;
    },
    addAdapter: (order) => {
      const digest = stagedDigest(order);
      adapters.set(order.adapter ?? order.model ?? digest, digest);
      return digest;
    },
    clear: () => {
      stagedChunks.clear();
      adapters.clear();
      loadedDigest = null;
    },
    get digest() {
      return loadedDigest;
    },
    get adapters() {
      return [...adapters.keys()];
    },
  };
}
