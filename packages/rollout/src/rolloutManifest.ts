import { digestOf, type Digest } from '@burdockrail/common/digest.js';
import { failure, success, type Outcome } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { WeightManifest } from '@burdockrail/protocol/protocolWeights.js';

/** Byte range of a chunk in the weights of a version; `end` is exclusive. */
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
 * Validates a manifest and checks that it describes the requested version.
 *
 * @param expectedDigest - digest from the configuration, if it sets one.
 * @returns the manifest, or a failure with `WeightsIncomplete`.
 */
export function checkManifest(
  value: unknown,
  model: string,
  version: string,
  expectedDigest: Digest | undefined,
): Outcome<WeightManifest> {
  if (!isManifest(value))
    return failure(ResultCode.WeightsIncomplete, 'weight manifest is malformed');
  if (value.model !== model || value.version !== version) {
    return failure(ResultCode.WeightsIncomplete, 'weight manifest is for another model or version');
  }
  if (expectedDigest !== undefined && value.digest !== expectedDigest) {
    return failure(
      ResultCode.WeightsIncomplete,
      'weight manifest digest differs from the configured digest',
    );
  }
  return success(value);
}

/** Returns the byte range of a chunk. */
export function chunkRange(manifest: WeightManifest, index: number): ChunkRange {
  const start = index * manifest.chunkSize;
  return { start, end: Math.min(start + manifest.chunkSize, manifest.size) };
}

/** Tells whether bytes have the length and digest of a chunk in the manifest. */
export function isChunk(manifest: WeightManifest, index: number, bytes: Uint8Array): boolean {
  const range = chunkRange(manifest, index);
  return bytes.length === range.end - range.start && digestOf(bytes) === manifest.chunks[index];
}
