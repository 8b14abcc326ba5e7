import { digestOf, type Digest } from '@burdockrail/common/digest.js';
import { failure, success, type Outcome } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { WeightManifest } from '@burdockrail/protocol/protocolWeights.js';

/** Position of a chunk in the version's bytes; `end` is exclusive. */
export interface ChunkRange {
  readonly start: number;
  readonly end: number;
}

const DIGEST_PATTERN = /^[0-9a-f]{64}$/u;

function isDigest(value: unknown): value is Digest {
  return typeof value === 'string' && DIGEST_PATTERN.test(value);
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) > 0;
}

function isManifest(value: unknown): value is WeightManifest {
  if (typeof value !== 'object' || value === null) return false;
  const fields = value as Readonly<Record<string, unknown>>;
  if (typeof fields.model !== 'string' || typeof fields.version !== 'string') return false;
  if (!isDigest(fields.digest)) return false;
  if (!isCount(fields.size) || !isCount(fields.chunkSize)) return false;
  const chunks = fields.chunks;
  if (!Array.isArray(chunks) || !chunks.every(isDigest)) return false;
  return chunks.length === Math.ceil(fields.size / fields.chunkSize);
}

/**
 * Checks the form of a manifest and that it describes the version asked for.
 *
 * @param expectedDigest - digest that the configuration names, if it names one.
 * @returns the manifest, or a failure with `WeightsIncomplete`.
 */
export function checkManifest(
  value: unknown,
  model: string,
  version: string,
  expectedDigest: Digest | undefined,
): Outcome<WeightManifest> {
  if (!isManifest(value)) return failure(ResultCode.WeightsIncomplete, 'malformed manifest');
  if (value.model !== model || value.version !== version) {
    return failure(ResultCode.WeightsIncomplete, 'the manifest describes another version');
  }
  if (expectedDigest !== undefined && value.digest !== expectedDigest) {
    return failure(ResultCode.WeightsIncomplete, 'the manifest has another digest');
  }
  return success(value);
}

/** Gives the position of a chunk. */
export function chunkRange(manifest: WeightManifest, index: number): ChunkRange {
  const start = index * manifest.chunkSize;
  return { start, end: Math.min(start + manifest.chunkSize, manifest.size) };
}

/** Tells whether bytes are the chunk that the manifest names. */
export function isChunk(manifest: WeightManifest, index: number, bytes: Uint8Array): boolean {
  const range = chunkRange(manifest, index);
  return bytes.length === range.end - range.start && digestOf(bytes) === manifest.chunks[index];
}
