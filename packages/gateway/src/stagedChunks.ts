import { createHash } from 'node:crypto';
import type { WeightsDialect, WeightsManifest } from './dialect.js';
import type { HttpClient } from './httpClient.js';

/** Bound on reading or writing one chunk at the engine, in milliseconds. */
const STAGE_TIMEOUT_MILLISECONDS = 1_500;

/** Chunks that are read back at the same time. */
const CONCURRENT_READS = 4;

const SUCCESS_STATUS = 200;

/** Chunks of one version that are staged at the engine. */
export interface StagedChunks {
  readonly model: string;
  readonly version: number;
  readonly manifest: WeightsManifest;
  /** Chunks that were verified after they were staged. */
  readonly verified: ReadonlySet<number>;
  /** Size of the largest chunk seen so far, in bytes; 0 before the first. */
  readonly largestChunkBytes: number;
  /** Reads everything back from the engine and keeps only what matches its digest. */
  verifyAll(): Promise<void>;
  /** Stages a chunk if it matches its digest; tells whether it did. */
  write(chunk: number, bytes: Uint8Array): Promise<boolean>;
  /** A verified chunk; `null` if it is not held or has turned bad. */
  read(chunk: number): Promise<Buffer | null>;
}

function matchesDigest(bytes: Uint8Array, digest: string | undefined): boolean {
  return createHash('sha256').update(bytes).digest('hex') === digest;
}

/** Creates the view of one version's staged chunks; nothing counts as verified at first. */
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
      // An engine that does not answer holds nothing that could be relied on.
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
