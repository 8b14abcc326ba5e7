/** Work on clients' input in one turn of the event loop, in units of `InputShare`. */
const TURN_UNITS = 4_096;

/** Shares the event loop between the connections of all clients of a process. */
export interface ClientTurns {
  /** True if this turn has no room for more work. */
  readonly isSpent: boolean;
  spend(units: number): void;
  /** Calls `resume` in a later turn; heavy connections wait for the others. */
  enqueue(resume: () => void, isHeavy: boolean): void;
}

/** Creates turns without work. */
export function createClientTurns(): ClientTurns {
  let light: (() => void)[] = [];
  let heavy: (() => void)[] = [];
  let spentUnits = 0;
  let isScheduled = false;

  const runQueues = (): void => {
    const [lightNow, heavyNow] = [light, heavy];
    light = [];
    heavy = [];
    while (lightNow.length > 0 && spentUnits < TURN_UNITS) lightNow.shift()?.();
    // One at least, so that heavy connections also go on beside many others.
    heavyNow.shift()?.();
    while (heavyNow.length > 0 && spentUnits < TURN_UNITS) heavyNow.shift()?.();
    light = [...lightNow, ...light];
    heavy = [...heavyNow, ...heavy];
  };

  const schedule = (): void => {
    if (isScheduled) return;
    isScheduled = true;
    setImmediate(() => {
      isScheduled = false;
      spentUnits = 0;
      if (light.length > 0 || heavy.length > 0) runQueues();
      if (light.length > 0 || heavy.length > 0 || spentUnits > 0) schedule();
    });
  };

  return {
    get isSpent() {
      return spentUnits >= TURN_UNITS;
    },
    spend: (units) => {
      if (units === 0) return;
      spentUnits += units;
      schedule();
    },
    enqueue: (resume, isHeavy) => {
      (isHeavy ? heavy : light).push(resume);
      schedule();
    },
  };
}
