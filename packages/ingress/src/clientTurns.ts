/** Work on clients' input in one turn of the event loop, in units of `InputShare`. */
const TURN_UNITS = 4_096;

/** Turns in a row in which heavy connections may get nothing while new ones come. */
const MAXIMUM_ACCEPTING_TURNS = 16;

/** Shares the event loop between the connections of all clients of a process. */
export interface ClientTurns {
  /** True if this turn has no room for more work. */
  readonly isSpent: boolean;
  spend(units: number): void;
  /** A connection was accepted in this turn. */
  connectionAccepted(): void;
  /** Calls `resume` in a later turn; heavy connections wait for the others. */
  enqueue(resume: () => void, isHeavy: boolean): void;
}

/**
 * Creates turns without work.
 *
 * @remarks
 * Node accepts one connection in a turn. So that an ordinary client behind many others is let in
 * soon, turns are short while connections come.
 */
export function createClientTurns(): ClientTurns {
  let light: (() => void)[] = [];
  let heavy: (() => void)[] = [];
  let spentUnits = 0;
  let isScheduled = false;
  let hasAccepted = false;
  let acceptingTurns = 0;

  const runQueues = (): void => {
    const [lightNow, heavyNow] = [light, heavy];
    light = [];
    heavy = [];
    while (lightNow.length > 0 && spentUnits < TURN_UNITS) lightNow.shift()?.();
    acceptingTurns = hasAccepted ? acceptingTurns + 1 : 0;
    hasAccepted = false;
    // One at least, so that heavy connections also go on beside many others.
    if (acceptingTurns % MAXIMUM_ACCEPTING_TURNS === 0) heavyNow.shift()?.();
    while (acceptingTurns === 0 && heavyNow.length > 0 && spentUnits < TURN_UNITS)
      heavyNow.shift()?.();
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
    connectionAccepted: () => {
      hasAccepted = true;
      schedule();
    },
    enqueue: (resume, isHeavy) => {
      (isHeavy ? heavy : light).push(resume);
      schedule();
    },
  };
}
