import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { fullBucket, takeToken, type TokenBucket, type TokenRate } from './tokenBucket.js';

/** Limits of one team across all entries. */
export interface TeamBounds {
  readonly team: string;
  readonly requestsPerSecond?: number;
  readonly concurrency?: number;
}

/** Decision on whether a team may begin one more request. */
export type TeamDecision =
  | { readonly kind: 'allowed' }
  | {
      readonly kind: 'refused';
      readonly code: ResultCode.RateLimited | ResultCode.ConcurrencyLimited;
      readonly retryAfterMilliseconds: Milliseconds;
    };

/** Enforces the rate and concurrency limits of all teams at one entry. */
export interface TeamLimits {
  /** Begins a request unless the team exceeds its limits; `entries` share the limits equally. */
  begin(bounds: TeamBounds, entries: number, now: Milliseconds): TeamDecision;
  /** Ends a request that `begin` allowed. */
  end(team: string): void;
}

/** Burst size, in seconds of the team's rate. */
const BURST_SECONDS = 1;

/** Retry delay of a team that exceeds its concurrency limit, in milliseconds. */
const CONCURRENCY_RETRY_MILLISECONDS = 1_000;

function entryRate(requestsPerSecond: number, entries: number): TokenRate {
  const tokensPerSecond = requestsPerSecond / Math.max(1, entries);
  return { tokensPerSecond, burst: Math.max(1, tokensPerSecond * BURST_SECONDS) };
}

/** Creates the limits of one entry. */
export function createTeamLimits(): TeamLimits {
  const buckets = new Map<string, TokenBucket>();
  const inProgress = new Map<string, number>();

  const takeRateToken = (bounds: TeamBounds, entries: number, now: Milliseconds): TeamDecision => {
    if (bounds.requestsPerSecond === undefined) return { kind: 'allowed' };
    const rate = entryRate(bounds.requestsPerSecond, entries);
    const result = takeToken(buckets.get(bounds.team) ?? fullBucket(rate, now), rate, now);
    buckets.set(bounds.team, result.bucket);
    if (result.kind === 'taken') return { kind: 'allowed' };
    const { retryAfterMilliseconds } = result;
    return { kind: 'refused', code: ResultCode.RateLimited, retryAfterMilliseconds };
  };

  return {
    begin: (bounds, entries, now) => {
      const { team, concurrency } = bounds;
      const count = inProgress.get(team) ?? 0;
      const entryConcurrency =
        concurrency === undefined ? Infinity : Math.ceil(concurrency / entries);
      if (count >= entryConcurrency) {
        return {
          kind: 'refused',
          code: ResultCode.ConcurrencyLimited,
          retryAfterMilliseconds: CONCURRENCY_RETRY_MILLISECONDS,
        };
      }
      const decision = takeRateToken(bounds, entries, now);
      if (decision.kind === 'allowed') inProgress.set(team, count + 1);
      return decision;
    },
    end: (team) => {
      const count = (inProgress.get(team) ?? 0) - 1;
      if (count > 0) inProgress.set(team, count);
      else inProgress.delete(team);
    },
  };
}
