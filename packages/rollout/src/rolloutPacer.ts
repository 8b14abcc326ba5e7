import type { Milliseconds } from '@burdockrail/common/timeSource.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Time that a pacer may fall behind before bytes go out faster than the rate, in milliseconds. */
const BURST_MILLISECONDS = 20;

/** Keeps weight traffic in one direction to a rate. */
export interface Pacer {
  /** Reserves room for bytes and gives the time to wait before they may go, in milliseconds. */
  reserve(bytes: number, now: Milliseconds): Milliseconds;
  /** Time until bytes may go, in milliseconds. */
  waitMilliseconds(now: Milliseconds): Milliseconds;
  /** Bytes reserved that have not gone yet. */
  queuedBytes(now: Milliseconds): number;
}

/**
 * Creates a pacer.
 *
 * @param bytesPerSecond - present rate; undefined for no bound.
 */
export function createPacer(bytesPerSecond: () => number | undefined): Pacer {
  let freeAt: Milliseconds = 0;
  return {
    reserve: (bytes, now) => {
      const rate = bytesPerSecond();
      if (rate === undefined) return 0;
      const begin = Math.max(freeAt, now - BURST_MILLISECONDS);
      freeAt = begin + (bytes / rate) * MILLISECONDS_PER_SECOND;
      return Math.max(0, begin - now);
    },
    waitMilliseconds: (now) => Math.max(0, freeAt - now),
    queuedBytes: (now) => {
      const rate = bytesPerSecond();
      if (rate === undefined) return 0;
      return Math.max(0, ((freeAt - now) * rate) / MILLISECONDS_PER_SECOND);
    },
  };
}
