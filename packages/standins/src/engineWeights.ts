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

/** Weights that are in the engine's memory. */
export interface EngineWeights {
  stage(digest: Digest, index: number, bytes: Buffer): void;
  staged(digest: Digest, index: number): Buffer | undefined;
  remove(digest: Digest): void;
  /**
   * Makes staged chunks the weights that answer, as they are and without a check.
   *
   * @returns digest of the bytes that are held, which shows missing or wrong chunks.
   */
  load(order: EngineOrder): Digest;
  addAdapter(order: EngineOrder): Digest;
  clear(): void;
  /** Digest of the bytes that answer; null when nothing is loaded. */
  readonly digest: Digest | null;
  readonly adapters: readonly string[];
}

/** Creates an engine memory without weights. */
export function createEngineWeights(): EngineWeights {
  const stagedChunks = new Map<Digest, Map<number, Buffer>>();
  const adapters = new Map<string, Digest>();
  let loaded: Digest | null = null;

  const heldDigest = (order: EngineOrder): Digest => {
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
    staged: (digest, index) => stagedChunks.get(digest)?.get(index),
    remove: (digest) => {
      stagedChunks.delete(digest);
    },
    load: (order) => {
      loaded = heldDigest(order);
      return loaded;
    },
    addAdapter: (order) => {
      const digest = heldDigest(order);
      adapters.set(order.adapter ?? order.model ?? digest, digest);
      return digest;
    },
    clear: () => {
      stagedChunks.clear();
      adapters.clear();
      loaded = null;
    },
    get digest() {
      return loaded;
    },
    get adapters() {
      return [...adapters.keys()];
    },
  };
}
