import type { Milliseconds } from '@burdockrail/common/timeSource.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Limits the total rate of byte slices, which are sent in the order of reservation. */
export interface RateLimiter {
  /** Reserves bandwidth for a slice; returns the time at which it may be sent. */
  reserveSendTime(bytes: number, now: Milliseconds): Milliseconds;
}

/** Creates a limiter; without a rate, every slice may be sent at once. */
export function createRateLimiter(bytesPerSecond: number | undefined): RateLimiter {
  let freeAt: Milliseconds = 0;
  return {
    reserveSendTime: (bytes, now) => {
      if (bytesPerSecond === undefined) return now;
      freeAt = Math.max(freeAt, now) + (bytes / bytesPerSecond) * MILLISECONDS_PER_SECOND;
      return freeAt;
    },
  };
}
