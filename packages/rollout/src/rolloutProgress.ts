import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Shortest time without an arrival after which a member takes over a duty, in milliseconds. */
const MINIMUM_STEP_IN_MILLISECONDS = 3_000;

/** The same before the first arrival, which takes longer than the later ones, in milliseconds. */
const FIRST_STEP_IN_MILLISECONDS = 6_000;

/** Longest such time, however slow the arrivals are, in milliseconds. */
const MAXIMUM_STEP_IN_MILLISECONDS = 60_000;

/** Arrivals that could have come in the time after which a member takes over a duty. */
const GAPS_PER_STEP_IN = 4;

/** Which chunks a member holds, and how regularly they arrive. */
export interface RolloutProgress {
  readonly heldCount: number;
  readonly isComplete: boolean;
  /** The lowest index that is missing; the count of chunks when none is. */
  readonly firstMissing: number;
  holds(index: number): boolean;
  /** Records a chunk that arrived or was found. */
  hold(index: number, now: Milliseconds): void;
  /** Records a chunk that arrived because the member took over a duty. */
  holdByStepIn(index: number, now: Milliseconds): void;
  /** Records that a chunk thought to be held is not. */
  lose(index: number): void;
  /** Indices of missing chunks, in order. */
  missing(): readonly number[];
  /** Step-in bounds that passed since the last arrival. */
  elapsedBounds(now: Milliseconds): number;
}

/** Creates the progress of a member that holds nothing. */
export function createRolloutProgress(chunkCount: number, now: Milliseconds): RolloutProgress {
  const held = new Set<number>();
  const missing = new Set<number>(Array.from({ length: chunkCount }, (_chunk, index) => index));
  let lastArrival = now;
  let lowest = 0;
  let longestGap = 0;
  let hasArrived = false;

  const bound = (): Milliseconds => {
    if (!hasArrived) return FIRST_STEP_IN_MILLISECONDS;
    const expected = Math.max(MINIMUM_STEP_IN_MILLISECONDS, longestGap * GAPS_PER_STEP_IN);
    return Math.min(expected, MAXIMUM_STEP_IN_MILLISECONDS);
  };

  return {
    get heldCount() {
      return held.size;
    },
    get isComplete() {
      return missing.size === 0;
    },
    get firstMissing() {
      while (held.has(lowest)) lowest += 1;
      return lowest;
    },
    holds: (index) => held.has(index),
    hold: (index, at) => {
      if (!missing.delete(index)) return;
      // The wait for the first chunk says nothing about the pace of the others.
      if (hasArrived) longestGap = Math.max(longestGap, at - lastArrival);
      hasArrived = true;
      held.add(index);
      lastArrival = at;
    },
    holdByStepIn: (index, at) => {
      if (!missing.delete(index)) return;
      held.add(index);
      // The others may be at work again, so the next duty is taken over one bound from now.
      lastArrival = at - bound();
    },
    lose: (index) => {
      if (!held.delete(index)) return;
      missing.add(index);
      lowest = Math.min(lowest, index);
    },
    missing: () => [...missing],
    elapsedBounds: (at) => Math.floor((at - lastArrival) / bound()),
  };
}
