import { createHash } from 'node:crypto';
import type { Milliseconds, TimeSource } from '@burdockrail/common/timeSource.js';
import type { WeightsDialect, WeightsManifest } from './dialect.js';
import type { HttpClient } from './httpClient.js';
import type { StagingWrites } from './stagingWrites.js';

/** Timeout for reading or writing one chunk at the engine, in milliseconds. */
const STAGE_TIMEOUT_MILLISECONDS = 1_500;

/** Number of chunks staged or read back concurrently. */
const CONCURRENT_CALLS = 4;

/**
 * Age up to which a chunk that was read back need not be read again before the load, in
 * milliseconds: reading all of them takes about a tenth of that.
 */
const MAXIMUM_READ_BACK_AGE_MILLISECONDS = 1_000;

/**
 * Age of a read-back up to which its chunk counts as sound when the engine takes it, in milliseconds:
 * a chunk that turned bad in the last 3 s before is excused, and the answer to the order takes time.
 */
const MAXIMUM_AGE_WHEN_TAKEN_MILLISECONDS = 2_500;

/** Most bytes of one version that an agent keeps in memory; the rest is only staged. */
const MAXIMUM_MEMORY_BYTES = 32 * 1024 * 1024;

const SUCCESS_STATUS = 200;
const FIRST_FAILURE_STATUS = 300;

/** Chunks of one version that an agent has, in its memory or staged at its engine. */
export interface VersionChunks {
  readonly model: string;
  readonly version: number;
  readonly manifest: WeightsManifest;
  /** Chunks whose digest matched when they arrived or were last read back. */
  readonly held: ReadonlySet<number>;
  readonly isComplete: boolean;
  /** True while the engine's staging is believed to have every chunk. */
  readonly isStaged: boolean;
  /** False while there is room for further chunks neither in memory nor in the staging. */
  readonly acceptsChunks: boolean;
  /** Size of the largest chunk seen so far, in bytes; 0 before the first. */
  readonly largestChunkBytes: number;
  /** Keeps a chunk if it matches its digest; returns whether it is held. */
  add(chunk: number, bytes: Uint8Array): Promise<boolean>;
  /** Returns a held chunk; `null` if it is missing or no longer matches its digest. */
  read(chunk: number): Promise<Uint8Array | null>;
  /** Reads back what the engine has staged and keeps the chunks that match their digests. */
  adoptStaged(): Promise<void>;
  /**
   * Stages all held chunks and reads back those that were not read a moment ago; returns whether the
   * engine has every chunk.
   */
  stage(): Promise<boolean>;
  /** Age of the oldest read-back, in milliseconds; infinite while a chunk has none. */
  oldestReadBackMilliseconds(now: Milliseconds): number;
  /**
   * Shows whether all chunks were sound when the engine took them: those whose read-back may have been
   * too old by then are read back again.
   *
   * @param takenBy - latest time at which the engine can have taken them.
   */
  wereSoundWhenTaken(takenBy: Milliseconds): Promise<boolean>;
  /** Records that the engine's staging no longer has some of these chunks. */
  forgetStaged(chunks: Iterable<number>): void;
}

/** Options of {@link createVersionChunks}. */
export interface VersionChunksOptions {
  readonly engine: HttpClient;
  readonly dialect: WeightsDialect;
  readonly model: string;
  readonly version: number;
  readonly manifest: WeightsManifest;
  readonly time: TimeSource;
  /** Writes of all versions into the staging. */
  readonly writes: StagingWrites;
  /** False while the engine's staging belongs to another version. */
  readonly mayStage: () => boolean;
  /** Called before a chunk is staged, because it replaces the same chunk of other versions. */
  readonly onStage: (chunk: number) => void;
}

function matchesDigest(bytes: Uint8Array, digest: string | undefined): boolean {
  return createHash('sha256').update(bytes).digest('hex') === digest;
}

async function forEachConcurrently(
  chunks: readonly number[],
  handle: (chunk: number) => Promise<void>,
): Promise<void> {
  const remaining = [...chunks];
  const worker = async (): Promise<void> => {
    for (let chunk = remaining.shift(); chunk !== undefined; chunk = remaining.shift())
      await handle(chunk);
  };
  await Promise.all(Array.from({ length: CONCURRENT_CALLS }, worker));
}

/**
 * Creates the state of a version without chunks.
 *
 * @remarks
 * An engine stages one version at a time. Chunks are kept in memory as well, so that the next
 * version can arrive while another one waits for its load, before the engine has started, and
 * without being fetched again after its staging was lost or spoilt.
 */
export function createVersionChunks(options: VersionChunksOptions): VersionChunks {
  const { engine, dialect, model, version, manifest, time, writes, mayStage, onStage } = options;
  const allChunks = manifest.digests.map((_digest, chunk) => chunk);
  const held = new Set<number>();
  const memory = new Map<number, Uint8Array>();
  const staged = new Set<number>();
  const readBackAt = new Map<number, Milliseconds>();
  let memoryBytes = 0;
  let largestChunkBytes = 0;

  const remember = (chunk: number, bytes: Uint8Array): void => {
    if (memory.has(chunk) || memoryBytes + bytes.length > MAXIMUM_MEMORY_BYTES) return;
    memory.set(chunk, bytes);
    memoryBytes += bytes.length;
    held.add(chunk);
  };

  const writeStaged = async (chunk: number, bytes: Uint8Array): Promise<void> => {
    onStage(chunk);
    readBackAt.delete(chunk);
    const write = writes.begin(version, chunk, time.now());
    try {
      const request = dialect.stageWrite(model, chunk);
      const { status } = await engine.call(request, STAGE_TIMEOUT_MILLISECONDS, bytes);
      write.answered();
      if (status >= FIRST_FAILURE_STATUS) return;
    } catch {
      // An engine that does not answer may stage it late; `stage` writes it again.
      write.lost(time.now());
      return;
    }
    staged.add(chunk);
    held.add(chunk);
  };

  const readBack = async (chunk: number): Promise<Uint8Array | null> => {
    try {
      const answer = await engine.call(dialect.stageRead(model, chunk), STAGE_TIMEOUT_MILLISECONDS);
      const isValid =
        answer.status === SUCCESS_STATUS && matchesDigest(answer.body, manifest.digests[chunk]);
      if (isValid) return answer.body;
    } catch {
      // A chunk that cannot be read back is treated as missing.
    }
    return null;
  };

  const discardStaged = (chunk: number): void => {
    staged.delete(chunk);
    readBackAt.delete(chunk);
    if (!memory.has(chunk)) held.delete(chunk);
  };

  const verifyStaged = async (chunk: number): Promise<void> => {
    const readAt = time.now();
    const bytes = await readBack(chunk);
    if (bytes === null) {
      discardStaged(chunk);
      return;
    }
    largestChunkBytes = Math.max(largestChunkBytes, bytes.length);
    staged.add(chunk);
    held.add(chunk);
    readBackAt.set(chunk, readAt);
    remember(chunk, bytes);
  };

  const readBackAge = (chunk: number, now: Milliseconds): number =>
    now - (readBackAt.get(chunk) ?? Number.NEGATIVE_INFINITY);

  const verifyAll = async (): Promise<void> => {
    const now = time.now();
    const due = allChunks.filter(
      (chunk) => readBackAge(chunk, now) > MAXIMUM_READ_BACK_AGE_MILLISECONDS,
    );
    await forEachConcurrently(due, verifyStaged);
  };

  const stageMissing = async (): Promise<void> => {
    const missing = allChunks.filter((chunk) => !staged.has(chunk));
    await forEachConcurrently(missing, async (chunk) => {
      const bytes = memory.get(chunk);
      if (bytes !== undefined) await writeStaged(chunk, bytes);
    });
  };

  return {
    model,
    version,
    manifest,
    held,
    get isComplete() {
      return held.size === allChunks.length;
    },
    get isStaged() {
      return staged.size === allChunks.length;
    },
    get acceptsChunks() {
      return mayStage() || memoryBytes + largestChunkBytes <= MAXIMUM_MEMORY_BYTES;
    },
    get largestChunkBytes() {
      return largestChunkBytes;
    },
    add: async (chunk, bytes) => {
      if (!matchesDigest(bytes, manifest.digests[chunk])) return false;
      largestChunkBytes = Math.max(largestChunkBytes, bytes.length);
      remember(chunk, bytes);
      if (mayStage()) await writeStaged(chunk, bytes);
      return held.has(chunk);
    },
    read: async (chunk) => {
      const bytes = memory.get(chunk);
      if (bytes !== undefined) return bytes;
      const readBytes = staged.has(chunk) ? await readBack(chunk) : null;
      if (readBytes === null) discardStaged(chunk);
      return readBytes;
    },
    adoptStaged: verifyAll,
    stage: async () => {
      await writes.othersEnded(version);
      await stageMissing();
      await verifyAll();
      if (staged.size === allChunks.length) return true;
      // Chunks that were spoilt in the staging are written once more from memory.
      await stageMissing();
      await verifyAll();
      return staged.size === allChunks.length;
    },
    oldestReadBackMilliseconds: (now) =>
      Math.max(...allChunks.map((chunk) => readBackAge(chunk, now))),
    wereSoundWhenTaken: async (takenBy) => {
      const doubtful = allChunks.filter(
        (chunk) =>
          readBackAge(chunk, takenBy) > MAXIMUM_AGE_WHEN_TAKEN_MILLISECONDS ||
          writes.mayBeReplaced(version, chunk, takenBy),
      );
      // A late write would mend a chunk after the engine has taken it, and a read-back not show that.
      if (doubtful.some((chunk) => writes.mayBeMended(version, chunk, takenBy))) return false;
      await forEachConcurrently(doubtful, verifyStaged);
      return doubtful.every((chunk) => staged.has(chunk));
    },
    forgetStaged: (chunks) => {
      for (const chunk of chunks) if (staged.has(chunk)) discardStaged(chunk);
    },
  };
}
