import type { Milliseconds } from '@burdockrail/common/timeSource.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Tokens that accrue over time up to the burst size. */
export interface TokenBucket {
  readonly tokens: number;
  readonly updatedAt: Milliseconds;
}

/** Refill rate and burst size of a bucket. */
export interface TokenRate {
  readonly tokensPerSecond: number;
  readonly burst: number;
}

/** Result of taking a token. */
export type TokenDecision =
  | { readonly kind: 'taken'; readonly bucket: TokenBucket }
  | {
      readonly kind: 'empty';
      readonly bucket: TokenBucket;
      /** Time until a token is available. */
      readonly retryAfterMilliseconds: Milliseconds;
    };

export function fullBucket(rate: TokenRate, now: Milliseconds): TokenBucket {
  return { tokens: rate.burst, updatedAt: now };
}

/** Takes one token if available. */
export function takeToken(bucket: TokenBucket, rate: TokenRate, now: Milliseconds): TokenDecision {
  const elapsedSeconds = Math.max(0, now - bucket.updatedAt) / MILLISECONDS_PER_SECOND;
  const tokens = Math.min(rate.burst, bucket.tokens + elapsedSeconds * rate.tokensPerSecond);
  if (tokens >= 1) return { kind: 'taken', bucket: { tokens: tokens - 1, updatedAt: now } };
  const missingTokens = 1 - tokens;
  return {
    kind: 'empty',
    bucket: { tokens, updatedAt: now },
    retryAfterMilliseconds: (missingTokens / rate.tokensPerSecond) * MILLISECONDS_PER_SECOND,
  };
}
