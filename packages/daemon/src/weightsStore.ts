import { digestOf, type Digest } from '@burdockrail/common/digest.js';
import type { WeightManifest } from '@burdockrail/protocol/protocolWeights.js';
import { isChunk } from '@burdockrail/rollout/rolloutManifest.js';
import type { EngineClient } from './engineClient.js';
import { createChunkCache } from './weightsCache.js';

/** Chunks kept in memory for peers, in bytes; others are read back from the engine. */
const CACHE_BYTES = 48 * 1024 * 1024;

/** Told of chunks of one version that became held. */
export type HeldListener = (indices: readonly number[]) => void;

/** Chunks that an agent holds, in its engine's staging, by version and by content. */
export interface ChunkStore {
  /** Begins to hold a version, or goes on with it. */
  open(manifest: WeightManifest): void;
  manifest(version: Digest): WeightManifest | undefined;
  /** Versions that are open. */
  readonly versions: readonly Digest[];
  held(version: Digest): ReadonlySet<number>;
  /** Stages a chunk that was verified. */
  put(manifest: WeightManifest, index: number, bytes: Buffer): Promise<void>;
  /** Records a chunk that the engine was found to hold. */
  found(manifest: WeightManifest, index: number): void;
  /** Reads a chunk and verifies it; null when it is not held. */
  read(chunk: Digest): Promise<Buffer | null>;
  /** Stages a chunk from another version that holds the same bytes, if there is one. */
  copy(manifest: WeightManifest, index: number): Promise<boolean>;
  /** Records that the engine does not hold a chunk as it should. */
  discard(version: Digest, index: number): void;
  /** Calls the listener now and for each later change, until the function given back is called. */
  watch(version: Digest, listener: HeldListener): () => void;
  /** Records that the engine lost everything that was staged. */
  forgetStaged(): void;
  /** Drops a version here and in the engine. */
  drop(version: Digest): Promise<void>;
}

interface HeldVersion {
  readonly manifest: WeightManifest;
  readonly held: Set<number>;
}

interface ChunkPlace {
  readonly version: Digest;
  readonly index: number;
}

/** Creates a store over the staging of one engine. */
export function createChunkStore(engine: EngineClient): ChunkStore {
  const cache = createChunkCache(CACHE_BYTES);
  const versions = new Map<Digest, HeldVersion>();
  const listeners = new Map<Digest, Set<HeldListener>>();

  const placesOf = (chunk: Digest): readonly ChunkPlace[] => {
    const places: ChunkPlace[] = [];
    for (const [version, { manifest, held }] of versions) {
      const index = manifest.chunks.indexOf(chunk);
      if (index >= 0 && held.has(index)) places.push({ version, index });
    }
    return places;
  };

  const markHeld = (manifest: WeightManifest, index: number): void => {
    const version = versions.get(manifest.digest);
    if (version === undefined || version.held.has(index)) return;
    version.held.add(index);
    for (const listener of listeners.get(manifest.digest) ?? []) listener([index]);
  };

  const discard = (version: Digest, index: number): void => {
    versions.get(version)?.held.delete(index);
  };

  const read = async (chunk: Digest): Promise<Buffer | null> => {
    const cached = cache.get(chunk);
    if (cached !== undefined) return cached;
    for (const { version, index } of placesOf(chunk)) {
      const bytes = await engine.readBack(version, index);
      if (bytes !== null && digestOf(bytes) === chunk) {
        cache.put(chunk, bytes);
        return bytes;
      }
      discard(version, index);
    }
    return null;
  };

  const put = async (manifest: WeightManifest, index: number, bytes: Buffer): Promise<void> => {
    await engine.stage(manifest.digest, index, bytes);
    cache.put(digestOf(bytes), bytes);
    markHeld(manifest, index);
  };

  return {
    open: (manifest) => {
      if (versions.has(manifest.digest)) return;
      versions.set(manifest.digest, { manifest, held: new Set() });
    },
    manifest: (version) => versions.get(version)?.manifest,
    get versions() {
      return [...versions.keys()];
    },
    held: (version) => versions.get(version)?.held ?? new Set(),
    put,
    found: markHeld,
    read,
    copy: async (manifest, index) => {
      const chunk = manifest.chunks[index];
      if (chunk === undefined) return false;
      const bytes = await read(chunk);
      if (bytes === null || !isChunk(manifest, index, bytes)) return false;
      await put(manifest, index, bytes);
      return true;
    },
    discard,
    watch: (version, listener) => {
      const known = listeners.get(version) ?? new Set();
      listeners.set(version, known.add(listener));
      listener([...(versions.get(version)?.held ?? [])]);
      return () => {
        known.delete(listener);
        if (known.size === 0) listeners.delete(version);
      };
    },
    forgetStaged: () => {
      for (const { held } of versions.values()) held.clear();
    },
    drop: async (version) => {
      versions.delete(version);
      await engine.drop(version);
    },
  };
}
