import { digestOf, type Digest } from '@burdockrail/common/digest.js';
import type { WeightManifest } from '@burdockrail/protocol/protocolWeights.js';
import { isChunk } from '@burdockrail/rollout/rolloutManifest.js';
import type { EngineClient } from './engineClient.js';
import { createChunkCache } from './weightsCache.js';

/** Size of the in-memory cache of chunks for peers; other chunks are read back from the engine. */
const CACHE_BYTES = 48 * 1024 * 1024;

/** Called with newly held chunks of one version. */
export type HeldListener = (indices: readonly number[]) => void;

/** Chunks held in the staging area of an agent's engine, by version and by digest. */
export interface ChunkStore {
  /** Adds a version without held chunks; no effect if it is open already. */
  open(manifest: WeightManifest): void;
  manifest(version: Digest): WeightManifest | undefined;
  /** Versions that are open. */
  readonly versions: readonly Digest[];
  held(version: Digest): ReadonlySet<number>;
  /** Stages a verified chunk. */
  put(manifest: WeightManifest, index: number, bytes: Buffer): Promise<void>;
  /** Records that the engine holds a chunk. */
  markHeld(manifest: WeightManifest, index: number): void;
  /** Reads and verifies a chunk; null if it is not held. */
  read(chunk: Digest): Promise<Buffer | null>;
  /** Copies a chunk from a version with the same bytes; resolves to false if there is none. */
  copy(manifest: WeightManifest, index: number): Promise<boolean>;
  /** Records that the engine's copy of a chunk is missing or corrupt. */
  markMissing(version: Digest, index: number): void;
  /** Calls the listener with the held chunks and each later one; returns the unsubscribe function. */
  watch(version: Digest, listener: HeldListener): () => void;
  /** Records that the engine has lost all staged chunks. */
  markAllMissing(): void;
  /** Removes a version from the store and the engine. */
  drop(version: Digest): Promise<void>;
}

interface HeldVersion {
  readonly manifest: WeightManifest;
  readonly held: Set<number>;
}

interface ChunkLocation {
  readonly version: Digest;
  readonly index: number;
}

/** Creates the store of one engine's staged chunks. */
export function createChunkStore(engine: EngineClient): ChunkStore {
  const cache = createChunkCache(CACHE_BYTES);
  const versions = new Map<Digest, HeldVersion>();
  const listeners = new Map<Digest, Set<HeldListener>>();

  const findLocations = (chunk: Digest): readonly ChunkLocation[] => {
    const locations: ChunkLocation[] = [];
    for (const [version, { manifest, held }] of versions) {
      const index = manifest.chunks.indexOf(chunk);
      if (index >= 0 && held.has(index)) locations.push({ version, index });
    }
    return locations;
  };

  const markHeld = (manifest: WeightManifest, index: number): void => {
    const version = versions.get(manifest.digest);
    if (version === undefined || version.held.has(index)) return;
    version.held.add(index);
    for (const listener of listeners.get(manifest.digest) ?? []) listener([index]);
  };

  const markMissing = (version: Digest, index: number): void => {
    versions.get(version)?.held.delete(index);
  };

  const read = async (chunk: Digest): Promise<Buffer | null> => {
    const cached = cache.get(chunk);
    if (cached !== undefined) return cached;
    for (const { version, index } of findLocations(chunk)) {
      const bytes = await engine.readStagedChunk(version, index);
      if (bytes !== null && digestOf(bytes) === chunk) {
        cache.put(chunk, bytes);
        return bytes;
      }
      markMissing(version, index);
    }
    return null;
  };

  const put = async (manifest: WeightManifest, index: number, bytes: Buffer): Promise<void> => {
    await engine.stageChunk(manifest.digest, index, bytes);
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
    markHeld,
    read,
    copy: async (manifest, index) => {
      const chunk = manifest.chunks[index];
      if (chunk === undefined) return false;
      const bytes = await read(chunk);
      if (bytes === null || !isChunk(manifest, index, bytes)) return false;
      await put(manifest, index, bytes);
      return true;
    },
    markMissing,
    watch: (version, listener) => {
      const versionListeners = listeners.get(version) ?? new Set();
      listeners.set(version, versionListeners.add(listener));
      listener([...(versions.get(version)?.held ?? [])]);
      return () => {
        versionListeners.delete(listener);
        if (versionListeners.size === 0) listeners.delete(version);
      };
    },
    markAllMissing: () => {
      for (const { held } of versions.values()) held.clear();
    },
    drop: async (version) => {
      versions.delete(version);
      await engine.discardStaged(version);
    },
  };
}
