import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** How an attempt at an upstream ended, as far as the upstream's health is concerned. */
export type AttemptVerdict =
  /** It answered in time. */
  | 'answered'
  /** It answered with a failure of its own. */
  | 'failed'
  /** It had no room. */
  | 'full'
  /** The connection was refused, reset or closed without an answer. */
  | 'broken'
  /** Nothing came for longer than the request could wait. */
  | 'silent'
  /** Another upstream has the address. */
  | 'replaced';

/** Health of upstreams as shown by the requests that were sent to them. */
export interface UpstreamStandings {
  note(id: string, verdict: AttemptVerdict, now: Milliseconds): void;
  /** True while an upstream is left out after failures. */
  isSuspended(id: string, now: Milliseconds): boolean;
  /** Share of the latest attempts that failed, from 0 to 1. */
  failureShare(id: string): number;
  /** Forgets upstreams that are not named. */
  retain(ids: ReadonlySet<string>): void;
}

interface Standing {
  readonly failureShare: number;
  /** Breaks or silences in a row. */
  readonly strikes: number;
  readonly suspendedUntil: Milliseconds;
}

/** Weight of the latest attempt in the share of failures. */
const SHARE_WEIGHT = 0.15;

/** Time for which an upstream is left out after its first strike, in milliseconds. */
const FIRST_SUSPENSION_MILLISECONDS: Readonly<Record<'broken' | 'silent', number>> = {
  broken: 400,
  silent: 1_500,
};

/** Longest time for which an upstream is left out before it is tried again, in milliseconds. */
const LONGEST_SUSPENSION_MILLISECONDS = 4_000;

/** Time for which an upstream without room is left to those that it serves, in milliseconds. */
const FULL_SUSPENSION_MILLISECONDS = 30;

const fresh: Standing = {
  failureShare: 0,
  strikes: 0,
  suspendedUntil: Number.NEGATIVE_INFINITY,
};

function suspended(standing: Standing, verdict: 'broken' | 'silent', now: Milliseconds): Standing {
  const time = FIRST_SUSPENSION_MILLISECONDS[verdict] * 2 ** standing.strikes;
  const until = now + Math.min(time, LONGEST_SUSPENSION_MILLISECONDS);
  return { ...standing, strikes: standing.strikes + 1, suspendedUntil: until };
}

function withShare(standing: Standing, failed: boolean): Standing {
  const sample = failed ? 1 : 0;
  const failureShare = standing.failureShare * (1 - SHARE_WEIGHT) + sample * SHARE_WEIGHT;
  return { ...standing, failureShare };
}

type Rule = (standing: Standing, now: Milliseconds) => Standing;

const rules: Readonly<Record<AttemptVerdict, Rule>> = {
  answered: (standing) => ({ ...withShare(standing, false), strikes: 0 }),
  failed: (standing) => ({ ...withShare(standing, true), strikes: 0 }),
  full: (standing, now) => ({ ...standing, suspendedUntil: now + FULL_SUSPENSION_MILLISECONDS }),
  broken: (standing, now) => suspended(withShare(standing, true), 'broken', now),
  silent: (standing, now) => suspended(withShare(standing, true), 'silent', now),
  replaced: (standing, now) => ({
    ...standing,
    suspendedUntil: now + LONGEST_SUSPENSION_MILLISECONDS,
  }),
};

/** Creates the standings of upstreams that have not been tried. */
export function createUpstreamStandings(): UpstreamStandings {
  const standings = new Map<string, Standing>();
  return {
    note: (id, verdict, now) => {
      standings.set(id, rules[verdict](standings.get(id) ?? fresh, now));
    },
    isSuspended: (id, now) => now < (standings.get(id) ?? fresh).suspendedUntil,
    failureShare: (id) => (standings.get(id) ?? fresh).failureShare,
    retain: (ids) => {
      for (const id of standings.keys()) if (!ids.has(id)) standings.delete(id);
    },
  };
}
