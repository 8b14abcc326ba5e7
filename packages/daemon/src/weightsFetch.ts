import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import { isChunk, type WeightManifest } from '@burdockrail/rollout/rolloutManifest.js';
import type { EngineClient } from './engineClient.js';
import type { WeightsOrigin } from './weightsOrigin.js';

/** Chunks that are read from the origin at the same time. */
const ORIGIN_READS = 4;

/** Fetches all chunks of a version from the origin and stages them. */
export async function fetchFromOrigin(
  origin: WeightsOrigin,
  engine: EngineClient,
  manifest: WeightManifest,
  signal: AbortSignal,
  held: (index: number) => void,
): Promise<void> {
  const rest = [...manifest.chunks.keys()];
  const read = async (): Promise<void> => {
    for (let index = rest.shift(); index !== undefined; index = rest.shift()) {
      const bytes = await origin.chunk(manifest, index, signal);
      if (!isChunk(manifest, index, bytes)) {
        throw new ResultError(ResultCode.ChunkCorrupt, `chunk ${index} from the origin`);
      }
      await engine.stage(manifest.digest, index, bytes);
      held(index);
    }
  };
  await Promise.all(Array.from({ length: ORIGIN_READS }, read));
}
