import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Minimum time without an arrival before a member takes over a chunk, in milliseconds. */
const MINIMUM_TAKEOVER_MILLISECONDS = 3_000;

/** The same before the first arrival, which takes longer than later ones, in milliseconds. */
const FIRST_TAKEOVER_MILLISECONDS = 6_000;

/** Maximum of that time, however slow the arrivals are, in milliseconds. */
const MAXIMUM_TAKEOVER_MILLISECONDS = 60_000;

/** The takeover timeout as a multiple of the longest gap between arrivals. */
const GAPS_PER_TAKEOVER = 4;

/** Tracks which chunks a member holds and how regularly they arrive. */
export interface RolloutProgress {
  readonly heldCount: number;
  readonly isComplete: boolean;
  /** Lowest missing index; the number of chunks when none is missing. */
  readonly firstMissing: number;
  holds(index: number): boolean;
  /** Records a chunk that arrived or was found in the store. */
  add(index: number, now: Milliseconds): void;
  /** Records a chunk that arrived because the member took over its fetch. */
  addByTakeover(index: number, now: Milliseconds): void;
  /** Records that a chunk is no longer held. */
  remove(index: number): void;
  /** Indices of missing chunks, in order. */
  missing(): readonly number[];
  /** Number of whole takeover timeouts since the last arrival. */
  elapsedTakeoverTimeouts(now: Milliseconds): number;
}

/** Creates the progress of a member that holds nothing. */
export function createRolloutProgress(
  chunkCount: number,
  startedAt: Milliseconds,
): RolloutProgress {
  const held = new Set<number>();
  const missing = new Set<number>(Array.from({ length: chunkCount }, (_chunk, index) => index));
  let lastArrivalAt = startedAt;
  let lowestMissing = 0;
  let longestGap = 0;
  let hasFirstArrived = false;

  const takeoverTimeout = (): Milliseconds => {
    if (!hasFirstArrived) return FIRST_TAKEOVER_MILLISECONDS;
    const expected = Math.max(MINIMUM_TAKEOVER_MILLISECONDS, longestGap * GAPS_PER_TAKEOVER);
    return Math.min(expected, MAXIMUM_TAKEOVER_MILLISECONDS);
  };

  return {
    get heldCount() {
      return held.size;
    },
    get isComplete() {
      return missing.size === 0;
    },
    get firstMissing() {
      while (held.has(lowestMissing)) lowestMissing += 1;
      return lowestMissing;
    },
    holds: (index) => held.has(index),
    add: (index, now) => {
      if (!missing.delete(index)) return;
      // The wait for the first chunk does not predict the gaps between later ones.
      if (hasFirstArrived) longestGap = Math.max(longestGap, now - lastArrivalAt);
      hasFirstArrived = true;
      held.add(index);
      lastArrivalAt = now;
    },
    addByTakeover: (index, now) => {
      if (!missing.delete(index)) return;
      held.add(index);
      // Counts one timeout as elapsed: the next takeover is due one timeout from now, as the members
      // that precede this one may be active again.
      lastArrivalAt = now - takeoverTimeout();
    },
    remove: (index) => {
      if (!held.delete(index)) return;
      missing.add(index);
      lowestMissing = Math.min(lowestMissing, index);
    },
    missing: () => [...missing],
    elapsedTakeoverTimeouts: (now) => Math.floor((now - lastArrivalAt) / takeoverTimeout()),
  };
}
