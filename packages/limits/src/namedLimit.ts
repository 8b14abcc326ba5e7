import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { fullBucket, takeToken, type TokenBucket, type TokenRate } from './tokenBucket.js';

/**
 * Requests per second that are always let through: an upstream can only lift its limit in the
 * answer to a request.
 */
const MINIMUM_REQUESTS_PER_SECOND = 0.2;

/** Time whose requests may come at once, in seconds. */
const BURST_SECONDS = 0.5;

/** Limit that an upstream names, kept by the one process through which all its requests pass. */
export interface NamedLimit {
  /** The limit in force; `null` for none. */
  readonly requestsPerSecond: number | null;
  /** Sets what the upstream named last; `null` lifts the limit. */
  set(requestsPerSecond: number | null, now: Milliseconds): void;
  /** Lets a request through (0), or returns the time until one may pass, in milliseconds. */
  take(now: Milliseconds): Milliseconds;
  /** Returns what a request took that was not sent. */
  giveBack(): void;
}

/** Lowest rate at which requests are sent to an upstream that names a limit. */
export function effectiveRate(requestsPerSecond: number): number {
  return Math.max(MINIMUM_REQUESTS_PER_SECOND, requestsPerSecond);
}

/** Creates a limiter without a limit. */
export function createNamedLimit(): NamedLimit {
  let requestsPerSecond: number | null = null;
  let rate: TokenRate = { tokensPerSecond: 0, burst: 0 };
  let bucket: TokenBucket = { tokens: 0, updatedAt: 0 };
  return {
    get requestsPerSecond() {
      return requestsPerSecond;
    },
    set: (next, now) => {
      if (next === requestsPerSecond) return;
      const wasLimited = requestsPerSecond !== null;
      requestsPerSecond = next;
      if (next === null) return;
      const tokensPerSecond = effectiveRate(next);
      rate = { tokensPerSecond, burst: Math.max(1, tokensPerSecond * BURST_SECONDS) };
      if (!wasLimited) bucket = fullBucket(rate, now);
    },
    take: (now) => {
      if (requestsPerSecond === null) return 0;
      const decision = takeToken(bucket, rate, now);
      bucket = decision.bucket;
      return decision.kind === 'taken' ? 0 : decision.retryAfterMilliseconds;
    },
    giveBack: () => {
      bucket = { ...bucket, tokens: Math.min(rate.burst, bucket.tokens + 1) };
    },
  };
}
