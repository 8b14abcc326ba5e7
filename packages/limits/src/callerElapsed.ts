/** Deadlines that callers of each route set, to tell how long one of them has been waiting. */
export interface CallerElapsed {
  /**
   * Time that a caller has spent on former attempts, in milliseconds, by what is left of its
   * deadline; 0 for one that sets no deadline or the usual one.
   */
  note(route: string, deadlineMilliseconds: number | null): number;
}

/** Share by which the usual deadline falls with each request, so that a change is learned. */
const DECAY = 0.001;

/** Difference that clocks and rounding make, in milliseconds. */
const TOLERANCE_MILLISECONDS = 25;

/**
 * Creates a memory without deadlines.
 *
 * @remarks
 * Answers the wave of callers that come back after a refusal: their objective runs from the first
 * attempt, and what is left of their deadline tells how much of it is gone. Callers of one route
 * mostly set the same deadline, so the longest one seen is that of a first attempt.
 */
export function createCallerElapsed(): CallerElapsed {
  const usual = new Map<string, number>();
  return {
    note: (route, deadline) => {
      if (deadline === null) return 0;
      const known = (usual.get(route) ?? 0) * (1 - DECAY);
      usual.set(route, Math.max(known, deadline));
      const elapsed = known - deadline;
      return elapsed > TOLERANCE_MILLISECONDS ? elapsed : 0;
    },
  };
}
