import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { GatewayBounds } from './gatewaySettings.js';

/**
 * Part of the time for a version after which no request is sent to an older one.
 *
 * The rest is for requests that are on their way over a busy link, or wait at an engine which drains.
 */
const OLD_VERSION_SHARE = 0.8;

/** A version that operators named, and when this process first knew of it. */
export interface NamedVersion {
  readonly version: number;
  readonly namedAt: Milliseconds;
}

/**
 * Tells whether a version may still be served.
 *
 * @remarks
 * Each newer version ends it by its own time: one that is named later does not put that off.
 *
 * @param named - all versions that are known to have been named.
 */
export function mayServe(
  version: number,
  named: readonly NamedVersion[],
  bounds: Pick<GatewayBounds, 'versionMilliseconds'>,
  now: Milliseconds,
): boolean {
  const bound = bounds.versionMilliseconds * OLD_VERSION_SHARE;
  return named.every((newer) => newer.version <= version || now - newer.namedAt < bound);
}

/**
 * Age of a naming, in milliseconds.
 *
 * @param knownFor - time for which a process has known of it.
 * @param namedAt - time of day at which it was named, in Unix milliseconds.
 * @param dayTime - present time of day of this process, which may have been set.
 */
export function namingAge(knownFor: Milliseconds, namedAt: number, dayTime: number): Milliseconds {
  return Math.max(0, knownFor, dayTime - namedAt);
}
