import { createHash } from 'node:crypto';
import type { WeightsDialect, WeightsManifest } from './dialect.js';
import type { HttpClient } from './httpClient.js';

/** Timeout for reading or writing one chunk at the engine, in milliseconds. */
const STAGE_TIMEOUT_MILLISECONDS = 1_500;

/** Number of chunks read back concurrently. */
const CONCURRENT_READS = 4;

const SUCCESS_STATUS = 200;

/** Chunks of one version staged at the engine. */
export interface StagedChunks {
  readonly model: string;
  readonly version: number;
  readonly manifest: WeightsManifest;
  /** Chunks whose digest matched when they were staged or last read back. */
  readonly verified: ReadonlySet<number>;
  /** Size of the largest chunk seen so far, in bytes; 0 before the first. */
  readonly largestChunkBytes: number;
  /** Reads all chunks back from the engine and updates `verified`. */
  verifyAll(): Promise<void>;
  /** Stages a chunk if it matches its digest; returns whether it was staged. */
  write(chunk: number, bytes: Uint8Array): Promise<boolean>;
  /** Reads a chunk back; `null` if it is missing or does not match its digest. */
  read(chunk: number): Promise<Buffer | null>;
}

function matchesDigest(bytes: Uint8Array, digest: string | undefined): boolean {
  return createHash('sha256').update(bytes).digest('hex') === digest;
}

/** Creates the state of one version's staged chunks; none is verified at first. */
export function createStagedChunks(
  engine: HttpClient,
  dialect: WeightsDialect,
  model: string,
  version: number,
  manifest: WeightsManifest,
): StagedChunks {
  const verified = new Set<number>();
  let largestChunkBytes = 0;

  const readBack = async (chunk: number): Promise<Buffer | null> => {
    try {
      const answer = await engine.call(dialect.stageRead(model, chunk), STAGE_TIMEOUT_MILLISECONDS);
      const isValid =
        answer.status === SUCCESS_STATUS && matchesDigest(answer.body, manifest.digests[chunk]);
      return isValid ? answer.body : null;
    } catch {
      // A chunk that cannot be read back is treated as missing.
      return null;
    }
  };

  const read = async (chunk: number): Promise<Buffer | null> => {
    const bytes = await readBack(chunk);
    if (bytes === null) verified.delete(chunk);
    else verified.add(chunk);
    return bytes;
  };

  return {
    model,
    version,
    manifest,
    verified,
    get largestChunkBytes() {
      return largestChunkBytes;
    },
    verifyAll: async () => {
      const chunks = manifest.digests.map((_digest, chunk) => chunk);
      const worker = async (): Promise<void> => {
        for (let chunk = chunks.shift(); chunk !== undefined; chunk = chunks.shift()) {
          await read(chunk);
        }
      };
      await Promise.all(Array.from({ length: CONCURRENT_READS }, worker));
    },
    write: async (chunk, bytes) => {
      largestChunkBytes = Math.max(largestChunkBytes, bytes.length);
      if (!matchesDigest(bytes, manifest.digests[chunk])) return false;
      const request = dialect.stageWrite(model, chunk);
      const { status } = await engine.call(request, STAGE_TIMEOUT_MILLISECONDS, bytes);
      if (status >= 300) return false;
      verified.add(chunk);
      return true;
    },
    read,
  };
}
