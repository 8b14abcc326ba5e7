import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** What a refused caller can still hope for. */
export interface RefusedRequest {
  /** Predicted time until a place is free, in milliseconds; `null` when nobody can tell. */
  readonly freeInMilliseconds: Milliseconds | null;
  /** Time of its objective left for waiting, in milliseconds. */
  readonly slackMilliseconds: Milliseconds;
}

/** Shortest time to come back after a refusal, in milliseconds: a new connection and a little more. */
const SHORTEST_MILLISECONDS = 50;

/** Longest such time, in milliseconds: callers wait for a third of the time they have, often 6 s. */
const LONGEST_MILLISECONDS = 1_900;

/** Time to come back for a caller that will be late, in milliseconds: most bursts are over by then. */
const LATE_MILLISECONDS = 1_500;

/** Slack that must be left at the predicted time for a first event in time, in milliseconds. */
const LEAST_SLACK_MILLISECONDS = 150;

/**
 * Time after which a refused caller should come back, in milliseconds.
 *
 * @remarks
 * Answers waves of callers that are refused together. One that can still be in time comes back when
 * a place is predicted to be free. For the others an early second refusal would be all that they
 * get, so they come back when others have been served. Where no engine is there, as late as they can:
 * it takes seconds until one is.
 */
export function comeBackIn({
  freeInMilliseconds,
  slackMilliseconds,
}: RefusedRequest): Milliseconds {
  if (freeInMilliseconds === null) return LONGEST_MILLISECONDS;
  const canBeInTime = slackMilliseconds - freeInMilliseconds >= LEAST_SLACK_MILLISECONDS;
  const least = canBeInTime ? SHORTEST_MILLISECONDS : LATE_MILLISECONDS;
  return Math.min(LONGEST_MILLISECONDS, Math.max(least, Math.round(freeInMilliseconds)));
}
