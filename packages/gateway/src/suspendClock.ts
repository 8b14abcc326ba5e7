import { uptime } from 'node:os';
import type { Milliseconds, TimeSource } from '@burdockrail/common/timeSource.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Difference between two clocks from which a suspension is assumed, in milliseconds. */
const SUSPENSION_THRESHOLD_MILLISECONDS = 100;

/** Clocks compared by {@link createSuspendClock}. */
export interface ClockSources {
  /** Monotonic clock; stops while the machine is suspended. */
  readonly steady: () => Milliseconds;
  /** Wall clock; cheap to read, but it may jump. */
  readonly wall: () => Milliseconds;
  /** Time since boot; includes suspensions and never jumps, but costs several system calls. */
  readonly sinceBoot: () => Milliseconds;
}

const processClocks: ClockSources = {
  steady: () => performance.now(),
  wall: () => Date.now(),
  sinceBoot: () => uptime() * MILLISECONDS_PER_SECOND,
};

/**
 * Creates a monotonic clock that includes the time for which the machine was suspended.
 *
 * @remarks
 * The steady clock of a process stops during a suspension, so state from before it would look
 * fresh afterwards. A jump of the wall clock relative to the steady clock is a cheap hint of a
 * suspension; the time since boot then distinguishes it from an adjustment of the wall clock.
 */
export function createSuspendClock(clocks: ClockSources = processClocks): TimeSource {
  let wallOffset = clocks.wall() - clocks.steady();
  let bootOffset = clocks.sinceBoot() - clocks.steady();
  let suspendedMilliseconds = 0;
  return {
    now: () => {
      const steadyNow = clocks.steady();
      const drift = clocks.wall() - steadyNow - wallOffset;
      if (Math.abs(drift) > SUSPENSION_THRESHOLD_MILLISECONDS) {
        wallOffset += drift;
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
