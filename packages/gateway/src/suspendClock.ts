import { uptime } from 'node:os';
import type { Milliseconds, TimeSource } from '@burdockrail/common/timeSource.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Difference between the two clocks that counts as a suspension, in milliseconds. */
const SUSPENSION_MILLISECONDS = 100;

/**
 * Monotonic time that goes on while the machine is suspended.
 *
 * @remarks
 * The steady clock of a process stands still during a suspension, so what a process believed before
 * would look fresh after it. The time since boot does not stand still, but is coarse.
 */
export function createSuspendClock(
  steady: () => Milliseconds = () => performance.now(),
  sinceBoot: () => Milliseconds = () => uptime() * MILLISECONDS_PER_SECOND,
): TimeSource {
  let offset = sinceBoot() - steady();
  let suspended = 0;
  return {
    now: () => {
      const present = steady();
      const ahead = sinceBoot() - present - offset;
      if (ahead > SUSPENSION_MILLISECONDS) {
        suspended += ahead;
        offset += ahead;
      }
      return present + suspended;
    },
  };
}
