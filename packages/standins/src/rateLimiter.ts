import type { Milliseconds } from '@burdockrail/common/timeSource.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Spaces slices of bytes so that all together keep to one rate, in order of their arrival. */
export interface RateLimiter {
  /** Time at which a slice of this size may go. */
  reserve(bytes: number, now: Milliseconds): Milliseconds;
}

/** Creates a limiter; without a rate nothing waits. */
export function createRateLimiter(bytesPerSecond: number | undefined): RateLimiter {
  let freeAt: Milliseconds = 0;
  return {
    reserve: (bytes, now) => {
      if (bytesPerSecond === undefined) return now;
      freeAt = Math.max(freeAt, now) + (bytes / bytesPerSecond) * MILLISECONDS_PER_SECOND;
      return freeAt;
    },
  };
}
