import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Prediction and remaining time of a refused request. */
export interface RefusedRequest {
  /** Predicted time until a slot is free, in milliseconds; `null` when unknown. */
  readonly freeInMilliseconds: Milliseconds | null;
  /** Time left for waiting within the latency objective, in milliseconds. */
  readonly slackMilliseconds: Milliseconds;
}

/** Shortest retry delay, in milliseconds: slightly more than setting up a new connection. */
const SHORTEST_RETRY_AFTER_MILLISECONDS = 50;

/**
 * Longest retry delay, in milliseconds: callers wait for a third of their deadline, which is often
 * 6 s.
 */
const LONGEST_RETRY_AFTER_MILLISECONDS = 1_900;

/**
 * Shortest retry delay of a caller that will be late, in milliseconds: most bursts are over by
 * then.
 */
const LATE_CALLER_RETRY_AFTER_MILLISECONDS = 1_500;

/**
 * Slack that must remain at the predicted time for the first event to be in time, in milliseconds.
 */
const MINIMUM_SLACK_MILLISECONDS = 150;

/** Time after which a caller should retry when all upstreams rest, in milliseconds. */
export function restRetryAfterMilliseconds(restMilliseconds: Milliseconds): Milliseconds {
  return Math.min(
    LONGEST_RETRY_AFTER_MILLISECONDS,
    Math.max(SHORTEST_RETRY_AFTER_MILLISECONDS, Math.ceil(restMilliseconds)),
  );
}

/**
 * Time after which a refused caller should retry, in milliseconds.
 *
 * @remarks
 * Spreads the retries of callers that are refused together. A caller that can still meet its
 * latency objective retries when a slot is predicted to be free. The others would only be refused
 * again, so they retry after the burst. When no engine is available the delay is the longest one,
 * because it takes seconds until one becomes available.
 */
export function refusalRetryAfterMilliseconds({
  freeInMilliseconds,
  slackMilliseconds,
}: RefusedRequest): Milliseconds {
  if (freeInMilliseconds === null) return LONGEST_RETRY_AFTER_MILLISECONDS;
  const canBeInTime = slackMilliseconds - freeInMilliseconds >= MINIMUM_SLACK_MILLISECONDS;
  const minimum = canBeInTime
    ? SHORTEST_RETRY_AFTER_MILLISECONDS
    : LATE_CALLER_RETRY_AFTER_MILLISECONDS;
  return Math.min(
    LONGEST_RETRY_AFTER_MILLISECONDS,
    Math.max(minimum, Math.round(freeInMilliseconds)),
  );
}
