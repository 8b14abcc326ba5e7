import { createHash } from 'node:crypto';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import { isChunk, type WeightManifest } from '@burdockrail/rollout/rolloutManifest.js';
import type { EngineClient } from './engineClient.js';

/**
 * Reads a staged version back from the engine and checks it against its manifest.
 *
 * @remarks
 * The engine serves what it holds without checking it, so the check is of the engine's own copy.
 * Throws a {@link ResultError} with `ChunkCorrupt` or `WeightsIncomplete`.
 */
export async function verifyStaged(
  engine: EngineClient,
  manifest: WeightManifest,
  signal: AbortSignal,
): Promise<void> {
  const whole = createHash('sha256');
  for (const index of manifest.chunks.keys()) {
    signal.throwIfAborted();
    const bytes = await engine.readBack(manifest.digest, index);
    if (bytes === null) {
      throw new ResultError(ResultCode.WeightsIncomplete, `chunk ${index} is not staged`);
    }
    if (!isChunk(manifest, index, bytes)) {
      throw new ResultError(ResultCode.ChunkCorrupt, `staged chunk ${index}`);
    }
    whole.update(bytes);
  }
  if (whole.digest('hex') !== manifest.digest) {
    throw new ResultError(ResultCode.WeightsIncomplete, 'the whole digest differs');
  }
}
