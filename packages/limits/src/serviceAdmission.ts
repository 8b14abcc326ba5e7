import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import {
  adjustLimit,
  initialLimit,
  type CapacityView,
  type ConcurrencyLimit,
} from './concurrencyLimit.js';
import { createFairQueue } from './fairQueue.js';

/** A request that asks to be let through to its service. */
export interface AdmissionRequest {
  readonly id: string;
  readonly team: string;
  readonly share: number;
  readonly deadlineAt: Milliseconds;
}

/** Answer to a request that arrives. */
export type AdmissionDecision =
  | { readonly kind: 'admitted' }
  /** Waits until it is admitted by a later call, at the longest until the time given. */
  | { readonly kind: 'queued'; readonly until: Milliseconds }
  | { readonly kind: 'refused'; readonly retryAfterMilliseconds: Milliseconds };

/** What becomes of a request that arrives, and of those that waited. */
export interface ArrivalResult {
  readonly decision: AdmissionDecision;
  /** Requests that waited and are admitted now. */
  readonly admitted: readonly string[];
}

/** Lets requests through to one service in proportion to their teams' shares. */
export interface ServiceAdmission {
  /** Takes a request; others that waited may be admitted with it. */
  arrive(request: AdmissionRequest, view: CapacityView, now: Milliseconds): ArrivalResult;
  /** Ends an admitted request of a team; returns those that are admitted in its place. */
  leave(team: string, view: CapacityView, now: Milliseconds): readonly string[];
  /** Gives up a request that waits; returns whether it did. */
  withdraw(id: string): boolean;
  /** Tells whether a team has no more in progress than its share among the active teams. */
  isWithinShare(team: string): boolean;
  readonly inProgress: number;
  readonly queued: number;
}

/** Longest wait for admission, in milliseconds. */
const MAXIMUM_WAIT_MILLISECONDS = 2_000;

/** Share of the time until its deadline that a request may wait. */
const WAIT_SHARE = 0.5;

/** Requests of one team that wait at most, as a multiple of the limit. */
const QUEUE_FACTOR = 2;

/** Time after which a refused request may come back, in milliseconds. */
const RETRY_MILLISECONDS = 1_000;

/**
 * Share of the limit that one team leaves free while other teams are active. Without it a team
 * that fills the limit makes each request of the others wait for one of its own to end.
 */
const HEADROOM_SHARE = 0.1;

/** Lowest limit with any headroom. */
const LOWEST_LIMIT_WITH_HEADROOM = 3;

/** Time for which a team counts as active after its last request, in milliseconds. */
const ACTIVE_MILLISECONDS = 5_000;

interface ActiveTeam {
  readonly share: number;
  readonly seenAt: Milliseconds;
}

/** Creates the admission of one service at one entry. */
export function createServiceAdmission(): ServiceAdmission {
  const queue = createFairQueue();
  const inProgressOf = new Map<string, number>();
  const active = new Map<string, ActiveTeam>();
  let limit: ConcurrencyLimit | undefined;
  let inProgress = 0;

  const currentLimit = (view: CapacityView, now: Milliseconds): number => {
    limit = adjustLimit(limit ?? initialLimit(view, now), view, inProgress, now);
    return Math.floor(limit.limit);
  };

  const waitUntil = (request: AdmissionRequest, now: Milliseconds): Milliseconds =>
    now + Math.min(MAXIMUM_WAIT_MILLISECONDS, (request.deadlineAt - now) * WAIT_SHARE);

  const noteActive = (team: string, share: number, now: Milliseconds): void => {
    active.set(team, { share, seenAt: now });
    for (const [other, { seenAt }] of active) {
      if (now - seenAt > ACTIVE_MILLISECONDS) active.delete(other);
    }
  };

  const limitOfTeam = (allowed: number): number => {
    if (active.size < 2 || allowed < LOWEST_LIMIT_WITH_HEADROOM) return allowed;
    return allowed - Math.ceil(allowed * HEADROOM_SHARE);
  };

  const count = (team: string, change: number): void => {
    inProgress += change;
    const next = (inProgressOf.get(team) ?? 0) + change;
    if (next > 0) inProgressOf.set(team, next);
    else inProgressOf.delete(team);
  };

  const admitWaiting = (allowed: number): readonly string[] => {
    const mostOfTeam = limitOfTeam(allowed);
    const hasRoom = (team: string): boolean => (inProgressOf.get(team) ?? 0) < mostOfTeam;
    const admitted: string[] = [];
    while (inProgress < allowed) {
      const next = queue.pop(hasRoom);
      if (next === undefined) break;
      count(next.team, 1);
      admitted.push(next.id);
    }
    return admitted;
  };

  return {
    get inProgress() {
      return inProgress;
    },
    get queued() {
      return queue.length;
    },
    arrive: (request, view, now) => {
      const { id, team, share } = request;
      noteActive(team, share, now);
      const allowed = currentLimit(view, now);
      if (queue.lengthOf(team) >= Math.max(1, Math.floor(allowed * QUEUE_FACTOR))) {
        const decision = { kind: 'refused', retryAfterMilliseconds: RETRY_MILLISECONDS } as const;
        return { decision, admitted: admitWaiting(allowed) };
      }
      queue.push(id, team, share);
      const admitted = admitWaiting(allowed);
      if (!admitted.includes(id)) {
        return { decision: { kind: 'queued', until: waitUntil(request, now) }, admitted };
      }
      const others = admitted.filter((other) => other !== id);
      return { decision: { kind: 'admitted' }, admitted: others };
    },
    leave: (team, view, now) => {
      count(team, -1);
      return admitWaiting(currentLimit(view, now));
    },
    withdraw: (id) => queue.remove(id),
    isWithinShare: (team) => {
      const shares = [...active.values()].reduce((sum, { share }) => sum + share, 0);
      const part = (active.get(team)?.share ?? 0) / Math.max(shares, Number.EPSILON);
      return (inProgressOf.get(team) ?? 0) <= (limit?.limit ?? 0) * part;
    },
  };
}
