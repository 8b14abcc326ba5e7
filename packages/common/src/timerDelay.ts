import type { Milliseconds } from './timeSource.js';

/** Longest delay of a timer, in milliseconds; a timer with a longer one fires at once. */
const LONGEST_DELAY_MILLISECONDS = 2 ** 31 - 1;

/** Returns the delay of a timer for a duration of any length. */
export function timerDelay(duration: Milliseconds): Milliseconds {
  return Math.min(LONGEST_DELAY_MILLISECONDS, Math.max(0, duration));
}
