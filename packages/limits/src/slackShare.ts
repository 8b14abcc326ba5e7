import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/**
 * Time for which an entry holds a share after it asked for it, in milliseconds. A control process
 * counts an entry for as long after the entry's last call, so a share has one holder at a time.
 */
export const SHARE_HELD_MILLISECONDS = 3_000;

/** This entry's share of what all entries may spend together in a window. */
export interface SlackShare {
  /**
   * Records into how many equal shares a control process divides the whole, of which this entry
   * holds one; `null` if that process has nothing to divide.
   *
   * @param control - incarnation of the control process.
   * @param askedAt - when this entry sent the call that was answered so.
   */
  record(shares: number | null, control: string, askedAt: Milliseconds): void;
  /** Part of the whole that this entry may have spent in the last window, from 0 to 1. */
  part(now: Milliseconds): number;
}

interface KnownShares {
  readonly shares: number;
  /** The last call that was answered so. */
  readonly askedAt: Milliseconds;
}

/**
 * Creates the share of an entry that has asked for none.
 *
 * @remarks
 * Keeps the sum of all shares within the whole though no entry knows what the others spend, or what
 * it spent itself before it started again:
 *
 * - An entry without contact loses its share when the control process stops counting it.
 * - Others may have spent what is divided anew until then, which counts for a window. So the smallest
 *   share of that time is the one in force.
 * - An entry that joins, or joins again, holds nothing until a control process has counted it for
 *   that time. With what it then holds it may change to another one.
 */
export function createSlackShare(windowMilliseconds: Milliseconds): SlackShare {
  const memoryMilliseconds = windowMilliseconds + SHARE_HELD_MILLISECONDS;
  let known: readonly KnownShares[] = [];
  let joinedAt: Milliseconds = Number.POSITIVE_INFINITY;
  let latestControl = '';
  const isCounted = (now: Milliseconds): boolean => {
    const latest = known.at(-1);
    return latest !== undefined && now - latest.askedAt < SHARE_HELD_MILLISECONDS;
  };
  const recentShares = (now: Milliseconds): readonly KnownShares[] =>
    known.filter(({ askedAt }) => now - askedAt < memoryMilliseconds);
  return {
    record: (shares, control, askedAt) => {
      // A control process of an earlier version names none.
      if (shares === null || !Number.isFinite(shares)) return;
      const isWaiting = askedAt - joinedAt < memoryMilliseconds;
      if (!isCounted(askedAt) || (isWaiting && control !== latestControl)) {
        joinedAt = askedAt;
        known = [];
      }
      latestControl = control;
      const others = recentShares(askedAt).filter((earlier) => earlier.shares !== shares);
      known = [...others, { shares, askedAt }];
    },
    part: (now) => {
      if (!isCounted(now) || now - joinedAt < memoryMilliseconds) return 0;
      return 1 / Math.max(1, ...recentShares(now).map(({ shares }) => shares));
    },
  };
}
