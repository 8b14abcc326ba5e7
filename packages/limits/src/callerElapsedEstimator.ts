/** Estimates from the remaining deadline how long a caller has already been retrying. */
export interface CallerElapsedEstimator {
  /**
   * Records the deadline that a request sets and returns the estimated time that its caller has
   * spent on earlier attempts, in milliseconds; 0 without a deadline or with the usual one.
   */
  estimateElapsedMilliseconds(route: string, deadlineMilliseconds: number | null): number;
}

/**
 * Fraction by which the usual deadline decays per request, so that it follows a change to shorter
 * ones.
 */
const USUAL_DEADLINE_DECAY = 0.001;

/** Differences up to this are attributed to clocks and rounding, in milliseconds. */
const CLOCK_TOLERANCE_MILLISECONDS = 25;

/**
 * Creates an estimator that has seen no deadlines.
 *
 * @remarks
 * Callers that retry after a refusal measure their latency objective from the first attempt, and
 * their remaining deadline shows how much of it has passed. Callers of one route mostly set the
 * same deadline, so the longest one seen is taken as that of a first attempt.
 */
export function createCallerElapsedEstimator(): CallerElapsedEstimator {
  const usualDeadlines = new Map<string, number>();
  return {
    estimateElapsedMilliseconds: (route, deadlineMilliseconds) => {
      if (deadlineMilliseconds === null) return 0;
      const usualDeadline = (usualDeadlines.get(route) ?? 0) * (1 - USUAL_DEADLINE_DECAY);
      usualDeadlines.set(route, Math.max(usualDeadline, deadlineMilliseconds));
      const elapsed = usualDeadline - deadlineMilliseconds;
      return elapsed > CLOCK_TOLERANCE_MILLISECONDS ? elapsed : 0;
    },
  };
}
