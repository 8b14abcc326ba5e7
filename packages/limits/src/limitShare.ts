import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { effectiveRate } from './namedLimit.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Requests by which unused turns of all entries together may exceed the limit for a while. */
const UNUSED_TURNS = 1;

/** Time for which an unused turn stays valid besides, in milliseconds. */
const TURN_MILLISECONDS = 1_000;

/** Place of an entry among all that send requests. */
export interface EntryRank {
  /** From 0; each entry has another. */
  readonly index: number;
  readonly entries: number;
}

/** One entry's share of a limit that an upstream names for all entries together. */
export interface LimitShare {
  /**
   * Uses this entry's turn (0), or returns the time until its next one, in milliseconds.
   *
   * @param wallTime - Unix time in milliseconds, because the turns of entries are spread over a
   * common time.
   */
  take(requestsPerSecond: number, rank: EntryRank, wallTime: Milliseconds): Milliseconds;
}

/**
 * Creates the share of one entry.
 *
 * @remarks
 * For upstreams without an agent through which all requests pass. The limit may be smaller than the
 * number of entries, and then no share allows one request a second. Entries have turns one after
 * the other instead. Turns expire, because entries that save them up would send many requests at
 * once.
 */
export function createLimitShare(): LimitShare {
  let lastUsedTurn = Number.NaN;
  return {
    take: (requestsPerSecond, { index, entries }, wallTime) => {
      const rate = effectiveRate(requestsPerSecond);
      const count = Math.max(1, entries);
      const interval = (MILLISECONDS_PER_SECOND * count) / rate;
      const validity = TURN_MILLISECONDS + (MILLISECONDS_PER_SECOND * UNUSED_TURNS) / rate;
      const position = wallTime / interval + index / count;
      const turn = Math.floor(position);
      const age = (position - turn) * interval;
      if (turn === lastUsedTurn || age > validity) return interval - age;
      lastUsedTurn = turn;
      return 0;
    },
  };
}
