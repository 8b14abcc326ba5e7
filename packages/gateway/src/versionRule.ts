import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { GatewayBounds } from './gatewaySettings.js';

/**
 * Time before the end of an older version at which requests to it stop, in milliseconds.
 *
 * A request counts from its first token, which an engine whose slots an agent grants produces
 * within the margin; one that takes longer is ended at the deadline. Without grants it may also
 * wait in the engine's own queue.
 */
export const SUPERSEDED_VERSION_MARGIN_MILLISECONDS = { granted: 600, ungranted: 2_500 } as const;

/**
 * Time before the end of an older version at which a request without a first event is ended, in
 * milliseconds: the way of the cancellation to the engine.
 */
const LAST_BEGIN_MARGIN_MILLISECONDS = 60;

/** A version named by operators, with the time of its naming on this process's clock. */
export interface NamedVersion {
  readonly version: number;
  readonly namedAt: Milliseconds;
}

/**
 * Tells whether a version may still be served.
 *
 * @remarks
 * Each newer version sets its own deadline for this one; naming further versions does not extend it.
 *
 * @param namedVersions - all versions known to have been named.
 * @param admission - whether an agent grants the engine's slots.
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

/**
 * Namings of one model that still decide which versions may be served, in ascending order.
 *
 * @remarks
 * Once the time of a naming has passed it ends all versions before it, so earlier namings decide
 * nothing more.
 */
export function namingsInForce<Naming>(
  namings: readonly Naming[],
  ageOf: (naming: Naming) => Milliseconds,
  { versionMilliseconds }: Pick<GatewayBounds, 'versionMilliseconds'>,
): readonly Naming[] {
  const latestEnding = namings.findLastIndex((naming) => ageOf(naming) > versionMilliseconds);
  return namings.slice(Math.max(0, latestEnding));
}

/** Time at which the first version newer than the held one was named; `null` if there is none. */
export function supersededAt(
  held: number,
  namedVersions: readonly NamedVersion[],
): Milliseconds | null {
  const times = namedVersions.filter(({ version }) => version > held).map(({ namedAt }) => namedAt);
  return times.length === 0 ? null : Math.min(...times);
}

/** Time that is a margin before the end of an older version; infinite for the newest version. */
function timeBeforeEnd(
  version: number,
  namedVersions: readonly NamedVersion[],
  { versionMilliseconds }: Pick<GatewayBounds, 'versionMilliseconds'>,
  marginMilliseconds: number,
): Milliseconds {
  const namedAt = supersededAt(version, namedVersions);
  if (namedAt === null) return Number.POSITIVE_INFINITY;
  return namedAt + versionMilliseconds - marginMilliseconds;
}

/** Time by which a request on a version must have begun; infinite for the newest version. */
export function mustBeginBy(
  version: number,
  namedVersions: readonly NamedVersion[],
  bounds: Pick<GatewayBounds, 'versionMilliseconds'>,
): Milliseconds {
  return timeBeforeEnd(version, namedVersions, bounds, LAST_BEGIN_MARGIN_MILLISECONDS);
}

/** Time until which an agent may grant slots for a version; infinite for the newest one. */
export function servableUntil(
  version: number,
  namedVersions: readonly NamedVersion[],
  bounds: Pick<GatewayBounds, 'versionMilliseconds'>,
): Milliseconds {
  const margin = SUPERSEDED_VERSION_MARGIN_MILLISECONDS.granted;
  return timeBeforeEnd(version, namedVersions, bounds, margin);
}

/**
 * Age of a naming, in milliseconds.
 *
 * @param knownForMilliseconds - time since this process learnt of it.
 * @param namedAt - wall-clock time of the naming, in Unix milliseconds.
 * @param wallClock - wall-clock time of this process, which may have been adjusted.
 */
export function namingAge(
  knownForMilliseconds: Milliseconds,
  namedAt: number,
  wallClock: number,
): Milliseconds {
  return Math.max(0, knownForMilliseconds, wallClock - namedAt);
}
