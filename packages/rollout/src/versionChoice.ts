import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Versions of one model that matter to an engine. */
export interface KnownVersions {
  /** Version that the engine has loaded; 0 without one. */
  readonly loaded: number;
  /** Version that the engine should have in the end. */
  readonly newest: number;
  /** Time until which a version may be served; infinite for the newest one. */
  servableUntil(version: number): Milliseconds;
}

/** Versions whose chunks an agent holds. */
export interface HeldVersions {
  /** Versions whose chunks are all held. */
  readonly complete: ReadonlySet<number>;
  /** Versions of which some chunks are held, but not all. */
  readonly partial: ReadonlySet<number>;
}

/** A version that is being fetched. */
export interface FetchedVersion {
  readonly version: number;
  /** True when its chunks have stopped arriving. */
  readonly isStalled: boolean;
  /** Stalled newest version in whose place it is fetched; `null` if there is none. */
  readonly inPlaceOf: number | null;
}

/** Service for which a load is worthwhile, in milliseconds: about as long as an engine is away. */
const MINIMUM_SERVICE_MILLISECONDS = 1_500;

function isWorthLoading(known: KnownVersions, version: number, now: Milliseconds): boolean {
  if (version <= known.loaded) return false;
  return now + MINIMUM_SERVICE_MILLISECONDS <= known.servableUntil(version);
}

/**
 * Version whose chunks an agent should fetch; `null` if it has all that it needs.
 *
 * @remarks
 * Answers version changes in quick succession while the origin may fail. The newest version comes
 * first, because each load costs service. When its chunks stop arriving, an older version that is
 * partly held and may still be served is completed from the other agents, so that the engines have
 * something to serve; when that stalls, too, the newest is tried again.
 */
export function versionToFetch(
  known: KnownVersions,
  { complete, partial }: HeldVersions,
  current: FetchedVersion | null,
  now: Milliseconds,
): number | null {
  const { newest, loaded } = known;
  if (newest <= loaded || complete.has(newest)) return null;
  const older = [...partial].filter(
    (version) => version < newest && isWorthLoading(known, version, now),
  );
  if (current === null || older.length === 0) return newest;
  const isContinued = current.inPlaceOf === newest && older.includes(current.version);
  if (isContinued) return current.isStalled ? newest : current.version;
  const hasNewestStalled = current.version === newest && current.isStalled;
  return hasNewestStalled ? Math.max(...older) : newest;
}

/** Newest complete version that the engine should load; `null` if there is none. */
export function versionToLoad(
  known: KnownVersions,
  complete: ReadonlySet<number>,
  now: Milliseconds,
): number | null {
  const useful = [...complete].filter((version) => isWorthLoading(known, version, now));
  return useful.length === 0 ? null : Math.max(...useful);
}
