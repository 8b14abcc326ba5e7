import type { WeightsManifest, ModelVersion } from './dialect.js';
import type { HttpClient } from './httpClient.js';
import type { GatewayContext } from './gatewayContext.js';

/** Timeout of one call to the origin, in milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 2_000;

/** Maximum number of manifests fetched until two are identical. */
const MAXIMUM_MANIFEST_FETCHES = 5;

const SUCCESS_STATUS = 200;

/**
 * Fetches a version's manifest; `null` when no two answers are identical.
 *
 * @remarks
 * The origin may return corrupt bytes and nothing authenticates the digests, so two identical
 * answers are required.
 */
export async function fetchManifest(
  { dialect, log }: Pick<GatewayContext, 'dialect' | 'log'>,
  origin: HttpClient,
  { model, version }: ModelVersion,
): Promise<WeightsManifest | null> {
  const seenDigests = new Set<string>();
  for (let fetches = 0; fetches < MAXIMUM_MANIFEST_FETCHES; fetches += 1) {
    const request = dialect.weights.manifest(model, version);
    const { status, body } = await origin.call(request, CALL_TIMEOUT_MILLISECONDS);
    const text = body.toString('utf8');
    const manifest = status === SUCCESS_STATUS ? dialect.weights.decodeManifest(text) : null;
    if (manifest === null) continue;
    const key = manifest.digests.join();
    if (seenDigests.has(key)) return manifest;
    seenDigests.add(key);
  }
  log.write('rolloutFailed', {
    model,
    version,
    reason: 'no two manifests from the origin are identical',
  });
  return null;
}
