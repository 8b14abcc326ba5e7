import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { GatewayBounds } from './gatewaySettings.js';

/**
 * Time before the end of an older version after which no request is sent to it, in milliseconds.
 *
 * A request begins with its first token, which a full engine makes after about 0.6 s; where nobody
 * grants the engine's places it may also wait in the engine's own queue.
 */
export const OLD_VERSION_MARGIN = { granted: 1_300, ungranted: 2_500 } as const;

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
export function mayServe(
  version: number,
  named: readonly NamedVersion[],
  bounds: Pick<GatewayBounds, 'versionMilliseconds'>,
  now: Milliseconds,
  places: keyof typeof OLD_VERSION_MARGIN = 'granted',
): boolean {
  const bound = bounds.versionMilliseconds - OLD_VERSION_MARGIN[places];
  return named.every((newer) => newer.version <= version || now - newer.namedAt < bound);
}

/** Time at which the first version newer than the one held was named; `null` when there is none. */
export function supersededAt(held: number, named: readonly NamedVersion[]): Milliseconds | null {
  const times = named.filter(({ version }) => version > held).map(({ namedAt }) => namedAt);
  return times.length === 0 ? null : Math.min(...times);
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
