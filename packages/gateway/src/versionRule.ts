import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { GatewayBounds } from './gatewaySettings.js';

/**
 * Time before the end of an older version after which no request is sent to it, in milliseconds.
 *
 * A request begins with its first token, which a full engine makes after about 0.6 s; where nobody
 * grants the engine's places it may also wait in the engine's own queue.
 */
export const SUPERSEDED_VERSION_MARGIN_MILLISECONDS = { granted: 1_300, ungranted: 2_500 } as const;

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
 * @param places - whether an agent grants the engine's places.
 */
export function mayServeVersion(
  version: number,
  namedVersions: readonly NamedVersion[],
  bounds: Pick<GatewayBounds, 'versionMilliseconds'>,
  now: Milliseconds,
  admission: keyof typeof SUPERSEDED_VERSION_MARGIN_MILLISECONDS = 'granted',
): boolean {
  const servableMilliseconds =
    bounds.versionMilliseconds - SUPERSEDED_VERSION_MARGIN_MILLISECONDS[admission];
  return namedVersions.every(
    (other) => other.version <= version || now - other.namedAt < servableMilliseconds,
  );
}

/** Time at which the first version newer than the one held was named; `null` when there is none. */
export function supersededAt(
  held: number,
  namedVersions: readonly NamedVersion[],
): Milliseconds | null {
  const times = namedVersions.filter(({ version }) => version > held).map(({ namedAt }) => namedAt);
  return times.length === 0 ? null : Math.min(...times);
}

/**
 * Age of a naming, in milliseconds.
 *
 * @param knownFor - time for which a process has known of it.
 * @param namedAt - time of day at which it was named, in Unix milliseconds.
 * @param dayTime - present time of day of this process, which may have been set.
 */
export function namingAgeMilliseconds(
  knownForMilliseconds: Milliseconds,
  namedAt: number,
  wallClock: number,
): Milliseconds {
  return Math.max(0, knownForMilliseconds, wallClock - namedAt);
}
