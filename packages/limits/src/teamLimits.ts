import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { fullBucket, takeToken, type TokenBucket, type TokenRate } from './tokenBucket.js';

/** Bounds of one team over all entries. */
export interface TeamBounds {
  readonly team: string;
  readonly requestsPerSecond?: number;
  readonly concurrency?: number;
}

/** Result of asking whether a team may begin one more request. */
export type TeamDecision =
  | { readonly kind: 'allowed' }
  | {
      readonly kind: 'refused';
      readonly code: ResultCode.RateLimited | ResultCode.ConcurrencyLimited;
      readonly retryAfterMilliseconds: Milliseconds;
    };

/** Rates and counts of all teams at one entry. */
export interface TeamLimits {
  /** Begins a request unless the team is over its bounds; `entries` share the bounds equally. */
  begin(bounds: TeamBounds, entries: number, now: Milliseconds): TeamDecision;
  /** Ends a request that was begun. */
  end(team: string): void;
}

/** Time's worth of requests that a team may send at once, in seconds. */
const BURST_SECONDS = 1;

/** Time after which a team over its concurrency is told to come back, in milliseconds. */
const CONCURRENCY_RETRY_MILLISECONDS = 1_000;

function rateOf(requestsPerSecond: number, entries: number): TokenRate {
  const tokensPerSecond = requestsPerSecond / Math.max(1, entries);
  return { tokensPerSecond, burst: Math.max(1, tokensPerSecond * BURST_SECONDS) };
}

/** Creates the limits of one entry. */
export function createTeamLimits(): TeamLimits {
  const buckets = new Map<string, TokenBucket>();
  const inProgress = new Map<string, number>();

  const takeRate = (bounds: TeamBounds, entries: number, now: Milliseconds): TeamDecision => {
    if (bounds.requestsPerSecond === undefined) return { kind: 'allowed' };
    const rate = rateOf(bounds.requestsPerSecond, entries);
    const decision = takeToken(buckets.get(bounds.team) ?? fullBucket(rate, now), rate, now);
    buckets.set(bounds.team, decision.bucket);
    if (decision.kind === 'taken') return { kind: 'allowed' };
    const { retryAfterMilliseconds } = decision;
    return { kind: 'refused', code: ResultCode.RateLimited, retryAfterMilliseconds };
  };

  return {
    begin: (bounds, entries, now) => {
      const { team, concurrency } = bounds;
      const count = inProgress.get(team) ?? 0;
      const part = concurrency === undefined ? Infinity : Math.ceil(concurrency / entries);
      if (count >= part) {
        return {
          kind: 'refused',
          code: ResultCode.ConcurrencyLimited,
          retryAfterMilliseconds: CONCURRENCY_RETRY_MILLISECONDS,
        };
      }
      const rated = takeRate(bounds, entries, now);
      if (rated.kind === 'allowed') inProgress.set(team, count + 1);
      return rated;
    },
    end: (team) => {
      const count = (inProgress.get(team) ?? 0) - 1;
      if (count > 0) inProgress.set(team, count);
      else inProgress.delete(team);
    },
  };
}
