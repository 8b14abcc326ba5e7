import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Result of an attempt, as it counts for the upstream's health. */
export type AttemptVerdict =
  /** It answered in time. */
  | 'answered'
  /** It answered with an error of its own. */
  | 'failed'
  /** It was at capacity. */
  | 'full'
  /** The connection was refused, reset or closed without an answer. */
  | 'broken'
  /** No data arrived for longer than the request could wait. */
  | 'silent'
  /** The address now belongs to another upstream. */
  | 'replaced'
  /** It leaves, so nothing was sent. */
  | 'leaving';

/** Health of upstreams derived from the results of requests (passive health checks). */
export interface UpstreamHealthTracker {
  recordAttempt(id: string, verdict: AttemptVerdict, now: Milliseconds): void;
  /** True while an upstream is not chosen because of its latest results. */
  isSuspended(id: string, now: Milliseconds): boolean;
  /**
   * True for a time after an upstream answered most of its latest requests with errors. It is not
   * suspended: only who knows all upstreams can tell whether the others suffice.
   */
  isFailing(id: string, now: Milliseconds): boolean;
  /** Weighted share of the latest attempts that failed, from 0 to 1; it fades with time. */
  failureRate(id: string, now: Milliseconds): number;
  /** Drops upstreams that are not in `ids`. */
  retain(ids: ReadonlySet<string>): void;
}

interface UpstreamHealth {
  /** As of the latest attempt. */
  readonly failureRate: number;
  readonly attemptedAt: Milliseconds;
  /** Consecutive attempts that were broken or silent. */
  readonly consecutiveUnanswered: number;
  readonly suspendedUntil: Milliseconds;
  /** Times in a row that it counted as failing, without a good answer between. */
  readonly consecutiveFailing: number;
  readonly failingUntil: Milliseconds;
}

/** Weight of the latest attempt in the moving average of failures. */
const LATEST_ATTEMPT_WEIGHT = 0.15;

/** Suspension after the first of consecutive unanswered attempts, in milliseconds. */
const FIRST_SUSPENSION_MILLISECONDS: Readonly<Record<'broken' | 'silent', number>> = {
  broken: 400,
  silent: 1_500,
};

/** Half-life of the failure rate, in milliseconds, so that an upstream that is avoided is tried again. */
const FAILURE_HALF_LIFE_MILLISECONDS = 2_000;

/** Failure rate above which an upstream counts as failing. */
const FAILING_RATE = 0.5;

/** First time for which an upstream counts as failing, in milliseconds; it doubles each time. */
const FIRST_FAILING_MILLISECONDS = 1_000;

/** Longest suspension before an upstream is tried again, in milliseconds. */
const LONGEST_SUSPENSION_MILLISECONDS = 4_000;

/** Suspension of an upstream at capacity, so that it can finish requests, in milliseconds. */
const FULL_UPSTREAM_SUSPENSION_MILLISECONDS = 30;

const initialHealth: UpstreamHealth = {
  failureRate: 0,
  attemptedAt: 0,
  consecutiveUnanswered: 0,
  suspendedUntil: Number.NEGATIVE_INFINITY,
  consecutiveFailing: 0,
  failingUntil: Number.NEGATIVE_INFINITY,
};

function suspend(
  health: UpstreamHealth,
  verdict: 'broken' | 'silent',
  now: Milliseconds,
): UpstreamHealth {
  const duration = FIRST_SUSPENSION_MILLISECONDS[verdict] * 2 ** health.consecutiveUnanswered;
  const suspendedUntil = now + Math.min(duration, LONGEST_SUSPENSION_MILLISECONDS);
  return {
    ...health,
    consecutiveUnanswered: health.consecutiveUnanswered + 1,
    suspendedUntil,
  };
}

function fadedFailureRate({ failureRate, attemptedAt }: UpstreamHealth, now: Milliseconds): number {
  return failureRate * 2 ** ((attemptedAt - now) / FAILURE_HALF_LIFE_MILLISECONDS);
}

function updateFailureRate(
  health: UpstreamHealth,
  failed: boolean,
  now: Milliseconds,
): UpstreamHealth {
  const sample = failed ? 1 : 0;
  const failureRate =
    fadedFailureRate(health, now) * (1 - LATEST_ATTEMPT_WEIGHT) + sample * LATEST_ATTEMPT_WEIGHT;
  return { ...health, failureRate, attemptedAt: now };
}

/**
 * Marks an upstream that mostly fails, or fails when it is tried again; errors that arrive meanwhile
 * extend nothing.
 */
function markIfFailing(health: UpstreamHealth, now: Milliseconds): UpstreamHealth {
  const isFailing = health.failureRate > FAILING_RATE || health.consecutiveFailing > 0;
  if (!isFailing || now < health.failingUntil) return health;
  const duration = Math.min(
    FIRST_FAILING_MILLISECONDS * 2 ** health.consecutiveFailing,
    LONGEST_SUSPENSION_MILLISECONDS,
  );
  return {
    ...health,
    consecutiveFailing: health.consecutiveFailing + 1,
    failingUntil: now + duration,
  };
}

type VerdictRule = (health: UpstreamHealth, now: Milliseconds) => UpstreamHealth;

const rulesByVerdict: Readonly<Record<AttemptVerdict, VerdictRule>> = {
  answered: (health, now) => ({
    ...updateFailureRate(health, false, now),
    consecutiveUnanswered: 0,
    consecutiveFailing: 0,
  }),
  failed: (health, now) =>
    markIfFailing({ ...updateFailureRate(health, true, now), consecutiveUnanswered: 0 }, now),
  full: (health, now) => ({
    ...health,
    suspendedUntil: now + FULL_UPSTREAM_SUSPENSION_MILLISECONDS,
  }),
  broken: (health, now) => suspend(updateFailureRate(health, true, now), 'broken', now),
  silent: (health, now) => suspend(updateFailureRate(health, true, now), 'silent', now),
  replaced: (health, now) => ({
    ...health,
    suspendedUntil: now + LONGEST_SUSPENSION_MILLISECONDS,
  }),
  leaving: (health) => health,
};

/** Creates the health records of upstreams that have not been tried. */
export function createUpstreamHealthTracker(): UpstreamHealthTracker {
  const healthById = new Map<string, UpstreamHealth>();
  const healthOf = (id: string): UpstreamHealth => healthById.get(id) ?? initialHealth;
  return {
    recordAttempt: (id, verdict, now) => {
      healthById.set(id, rulesByVerdict[verdict](healthOf(id), now));
    },
    isSuspended: (id, now) => now < healthOf(id).suspendedUntil,
    isFailing: (id, now) => now < healthOf(id).failingUntil,
    failureRate: (id, now) => fadedFailureRate(healthOf(id), now),
    retain: (ids) => {
      for (const id of healthById.keys()) if (!ids.has(id)) healthById.delete(id);
    },
  };
}
