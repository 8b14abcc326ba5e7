import type { Milliseconds } from '@burdockrail/common/timeSource.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Unused time that a pacer may catch up on by exceeding the rate, in milliseconds. */
const MAXIMUM_BURST_MILLISECONDS = 20;

/** Limits weight traffic in one direction to a rate. */
export interface Pacer {
  /** Reserves capacity for bytes; returns the wait before they may be sent, in milliseconds. */
  reserve(bytes: number, now: Milliseconds): Milliseconds;
  /** Time until further bytes may be sent, in milliseconds. */
  waitMilliseconds(now: Milliseconds): Milliseconds;
  /** Reserved bytes that are not sent yet. */
  queuedBytes(now: Milliseconds): number;
}

/**
 * Creates a pacer.
 *
 * @param bytesPerSecond - current rate; undefined for no limit.
 */
export function createPacer(bytesPerSecond: () => number | undefined): Pacer {
  let nextFreeAt: Milliseconds = 0;
  return {
    reserve: (bytes, now) => {
      const rate = bytesPerSecond();
      if (rate === undefined) return 0;
      const startsAt = Math.max(nextFreeAt, now - MAXIMUM_BURST_MILLISECONDS);
      nextFreeAt = startsAt + (bytes / rate) * MILLISECONDS_PER_SECOND;
      return Math.max(0, startsAt - now);
    },
    waitMilliseconds: (now) => Math.max(0, nextFreeAt - now),
    queuedBytes: (now) => {
      const rate = bytesPerSecond();
      if (rate === undefined) return 0;
      return Math.max(0, ((nextFreeAt - now) * rate) / MILLISECONDS_PER_SECOND);
    },
  };
}
