import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Limits of one team over all entries; absent ones do not bind. */
export interface TeamLimit {
  readonly requestsPerSecond?: number | undefined;
  readonly concurrency?: number | undefined;
}

/** Whether a request of a team may go on. */
export type TeamDecision =
  | { readonly kind: 'taken' }
  | { readonly kind: 'rate'; readonly retryAfterMilliseconds: Milliseconds }
  | { readonly kind: 'concurrency' };

/** Rate and concurrency of teams at one of several entries. */
export interface TeamLimits {
  /** Takes a request if its team's part of the limits allows it. */
  tryTake(team: string, limit: TeamLimit, entries: number, now: Milliseconds): TeamDecision;
  /** Gives the place of a taken request back. */
  release(team: string): void;
}

interface TeamRecord {
  tokens: number;
  filledAt: Milliseconds;
  running: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Seconds of its rate that a team may use at once. */
const BURST_SECONDS = 1;

/**
 * Creates limits of which nothing is used.
 *
 * @remarks
 * Each entry enforces an equal part of a limit, and at least one request at once, so that no
 * message between entries is needed for a request. When the balancer spreads a team over k of n
 * entries only, the team gets k/n of its limit; a limit below one request for each entry is
 * exceeded by at most one request for each entry.
 */
export function createTeamLimits(): TeamLimits {
  const records = new Map<string, TeamRecord>();

  const recordOf = (team: string, burst: number, now: Milliseconds): TeamRecord => {
    const known = records.get(team);
    if (known !== undefined) return known;
    const created = { tokens: burst, filledAt: now, running: 0 };
    records.set(team, created);
    return created;
  };

  return {
    tryTake: (team, { requestsPerSecond, concurrency }, entries, now) => {
      const rate = (requestsPerSecond ?? Number.POSITIVE_INFINITY) / entries;
      const burst = Math.max(1, rate * BURST_SECONDS);
      const record = recordOf(team, burst, now);
      if (concurrency !== undefined && record.running >= Math.ceil(concurrency / entries)) {
        return { kind: 'concurrency' };
      }
      if (requestsPerSecond !== undefined) {
        const earned = ((now - record.filledAt) / MILLISECONDS_PER_SECOND) * rate;
        record.tokens = Math.min(burst, record.tokens + earned);
        record.filledAt = now;
        if (record.tokens < 1) {
          const missing = 1 - record.tokens;
          return {
            kind: 'rate',
            retryAfterMilliseconds: (missing / rate) * MILLISECONDS_PER_SECOND,
          };
        }
        record.tokens -= 1;
      }
      record.running += 1;
      return { kind: 'taken' };
    },
    release: (team) => {
      const record = records.get(team);
      if (record !== undefined) record.running -= 1;
    },
  };
}
