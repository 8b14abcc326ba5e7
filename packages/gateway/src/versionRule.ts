import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { KnownWeights } from './entryBeliefs.js';
import type { GatewayBounds } from './gatewaySettings.js';

/**
 * Part of the time for a version after which no request is sent to an older one.
 *
 * The rest is for requests that wait at an engine which drains before it loads.
 */
const OLD_VERSION_SHARE = 0.86;

/** Tells whether a version may still be served, given what operators named last. */
export function mayServe(
  version: number,
  named: KnownWeights | undefined,
  bounds: Pick<GatewayBounds, 'versionMilliseconds'>,
  now: Milliseconds,
): boolean {
  if (named === undefined || version >= named.version) return true;
  return now - named.namedAt < bounds.versionMilliseconds * OLD_VERSION_SHARE;
}
