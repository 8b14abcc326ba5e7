import { uptime } from 'node:os';
import type { Milliseconds, TimeSource } from '@burdockrail/common/timeSource.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Difference between two clocks that counts as a suspension, in milliseconds. */
const SUSPENSION_THRESHOLD_MILLISECONDS = 100;

/** Clocks that a {@link createSuspendClock} compares. */
export interface ClockSources {
  /** Stands still while the machine is suspended. */
  readonly steady: () => Milliseconds;
  /** Time of day; cheap to read, but it may jump. */
  readonly day: () => Milliseconds;
  /** Goes on during a suspension and never jumps; costs several system calls. */
  readonly sinceBoot: () => Milliseconds;
}

const processClocks: ClockSources = {
  steady: () => performance.now(),
  day: () => Date.now(),
  sinceBoot: () => uptime() * MILLISECONDS_PER_SECOND,
};

/**
 * Monotonic time that goes on while the machine is suspended.
 *
 * @remarks
 * The steady clock of a process stands still during a suspension, so what a process believed before
 * would look fresh after it. A jump of the time of day against the steady clock is the cheap sign of
 * a suspension; the time since boot then tells it from a clock that was set.
 */
export function createSuspendClock(clocks: ClockSources = processClocks): TimeSource {
  let dayOffset = clocks.day() - clocks.steady();
  let bootOffset = clocks.sinceBoot() - clocks.steady();
  let suspendedMilliseconds = 0;
  return {
    now: () => {
      const steadyNow = clocks.steady();
      const drift = clocks.day() - steadyNow - dayOffset;
      if (Math.abs(drift) > SUSPENSION_THRESHOLD_MILLISECONDS) {
        dayOffset += drift;
        const suspendedFor = clocks.sinceBoot() - steadyNow - bootOffset;
        if (suspendedFor > SUSPENSION_THRESHOLD_MILLISECONDS) {
          suspendedMilliseconds += suspendedFor;
          bootOffset += suspendedFor;
        }
      }
      return steadyNow + suspendedMilliseconds;
    },
  };
}
