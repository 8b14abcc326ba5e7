import type { WeightsManifest, WeightsName } from './dialect.js';
import type { HttpCaller } from './engineClient.js';
import type { GatewayContext } from './gatewayContext.js';

/** Bound on one answer of the origin, in milliseconds. */
const CALL_MILLISECONDS = 2_000;

/** Manifests asked for until two are alike. */
const MANIFEST_TRIES = 5;

const SUCCESS_STATUS = 200;

/**
 * Fetches a version's manifest; `null` when none could be had.
 *
 * @remarks
 * The origin may hand out wrong bytes and nothing checks the digests themselves, so two answers have
 * to be alike.
 */
export async function fetchManifest(
  { dialect, log }: Pick<GatewayContext, 'dialect' | 'log'>,
  origin: HttpCaller,
  { model, version }: WeightsName,
): Promise<WeightsManifest | null> {
  const seen = new Set<string>();
  for (let tries = 0; tries < MANIFEST_TRIES; tries += 1) {
    const request = dialect.weights.manifest(model, version);
    const { status, body } = await origin.call(request, CALL_MILLISECONDS);
    const text = body.toString('utf8');
    const manifest = status === SUCCESS_STATUS ? dialect.weights.decodeManifest(text) : null;
    if (manifest === null) continue;
    const key = manifest.digests.join();
    if (seen.has(key)) return manifest;
    seen.add(key);
  }
  log.write('rolloutFailed', { model, version, reason: 'no two manifests are alike' });
  return null;
}
