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
  /** Weighted share of the latest attempts that failed, from 0 to 1. */
  failureRate(id: string): number;
  /** Drops upstreams that are not in `ids`. */
  retain(ids: ReadonlySet<string>): void;
}

interface UpstreamHealth {
  readonly failureRate: number;
  /** Consecutive attempts that were broken or silent. */
  readonly consecutiveUnanswered: number;
  readonly suspendedUntil: Milliseconds;
}

/** Weight of the latest attempt in the moving average of failures. */
const LATEST_ATTEMPT_WEIGHT = 0.15;

/** Suspension after the first of consecutive unanswered attempts, in milliseconds. */
const FIRST_SUSPENSION_MILLISECONDS: Readonly<Record<'broken' | 'silent', number>> = {
  broken: 400,
  silent: 1_500,
};

/** Longest suspension before an upstream is tried again, in milliseconds. */
const LONGEST_SUSPENSION_MILLISECONDS = 4_000;

/** Suspension of an upstream at capacity, so that it can finish requests, in milliseconds. */
const FULL_UPSTREAM_SUSPENSION_MILLISECONDS = 30;

const initialHealth: UpstreamHealth = {
  failureRate: 0,
  consecutiveUnanswered: 0,
  suspendedUntil: Number.NEGATIVE_INFINITY,
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

function updateFailureRate(health: UpstreamHealth, failed: boolean): UpstreamHealth {
  const sample = failed ? 1 : 0;
  const failureRate =
    health.failureRate * (1 - LATEST_ATTEMPT_WEIGHT) + sample * LATEST_ATTEMPT_WEIGHT;
  return { ...health, failureRate };
}

type VerdictRule = (health: UpstreamHealth, now: Milliseconds) => UpstreamHealth;

const rulesByVerdict: Readonly<Record<AttemptVerdict, VerdictRule>> = {
  answered: (health) => ({ ...updateFailureRate(health, false), consecutiveUnanswered: 0 }),
  failed: (health) => ({ ...updateFailureRate(health, true), consecutiveUnanswered: 0 }),
  full: (health, now) => ({
    ...health,
    suspendedUntil: now + FULL_UPSTREAM_SUSPENSION_MILLISECONDS,
  }),
  broken: (health, now) => suspend(updateFailureRate(health, true), 'broken', now),
  silent: (health, now) => suspend(updateFailureRate(health, true), 'silent', now),
  replaced: (health, now) => ({
    ...health,
    suspendedUntil: now + LONGEST_SUSPENSION_MILLISECONDS,
  }),
  leaving: (health) => health,
};

/** Creates the health records of upstreams that have not been tried. */
export function createUpstreamHealthTracker(): UpstreamHealthTracker {
  const healthById = new Map<string, UpstreamHealth>();
  return {
    recordAttempt: (id, verdict, now) => {
      healthById.set(id, rulesByVerdict[verdict](healthById.get(id) ?? initialHealth, now));
    },
    isSuspended: (id, now) => now < (healthById.get(id) ?? initialHealth).suspendedUntil,
    failureRate: (id) => (healthById.get(id) ?? initialHealth).failureRate,
    retain: (ids) => {
      for (const id of healthById.keys()) if (!ids.has(id)) healthById.delete(id);
    },
  };
}
