import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import {
  adjustLimit,
  initialLimit,
  type CapacityView,
  type ConcurrencyLimit,
} from './concurrencyLimit.js';
import { createFairQueue } from './fairQueue.js';

/** A request for admission to a service. */
export interface AdmissionRequest {
  readonly id: string;
  readonly team: string;
  readonly share: number;
  readonly deadlineAt: Milliseconds;
}

/** Decision on an arriving request. */
export type AdmissionDecision =
  | { readonly kind: 'admitted' }
  /** The request waits until a later call admits it, at most until the given time. */
  | { readonly kind: 'queued'; readonly until: Milliseconds }
  | { readonly kind: 'refused'; readonly retryAfterMilliseconds: Milliseconds };

/** Decision on an arriving request, and the waiting requests admitted with it. */
export interface ArrivalResult {
  readonly decision: AdmissionDecision;
  /** Waiting requests that are now admitted. */
  readonly admitted: readonly string[];
}

/** Admits requests to one service in proportion to their teams' shares. */
export interface ServiceAdmission {
  /** Admits, queues or refuses a request; waiting requests may be admitted by the same call. */
  arrive(request: AdmissionRequest, view: CapacityView, now: Milliseconds): ArrivalResult;
  /** Ends an admitted request of a team; returns the waiting requests admitted in its place. */
  release(team: string, view: CapacityView, now: Milliseconds): readonly string[];
  /** Removes a waiting request; returns whether it was waiting. */
  cancel(id: string): boolean;
  /** True when a team has no more requests in progress than its share among the active teams. */
  isWithinShare(team: string): boolean;
  readonly inProgress: number;
  readonly queued: number;
}

/** Longest wait for admission, in milliseconds. */
const MAXIMUM_WAIT_MILLISECONDS = 2_000;

/** Share of the time until its deadline that a request may wait for admission. */
const DEADLINE_WAIT_SHARE = 0.5;

/** Longest queue of one team, as a multiple of the limit. */
const QUEUE_LENGTH_FACTOR = 2;

/** Retry delay of a refused request, in milliseconds. */
const RETRY_AFTER_MILLISECONDS = 1_000;

/**
 * Share of the limit that one team must leave free while other teams are active. Without it a team
 * that uses the whole limit would make every request of other teams wait for one of its own to end.
 */
const HEADROOM_SHARE = 0.1;

/** Lowest limit that reserves headroom. */
const MINIMUM_LIMIT_WITH_HEADROOM = 3;

/** Time for which a team counts as active after its last request, in milliseconds. */
const ACTIVE_TEAM_TIMEOUT_MILLISECONDS = 5_000;

interface ActiveTeam {
  readonly share: number;
  readonly seenAt: Milliseconds;
}

/** Creates the admission of one service at one entry. */
export function createServiceAdmission(): ServiceAdmission {
  const queue = createFairQueue();
  const inProgressByTeam = new Map<string, number>();
  const activeTeams = new Map<string, ActiveTeam>();
  let concurrencyLimit: ConcurrencyLimit | undefined;
  let inProgress = 0;

  const currentLimit = (view: CapacityView, now: Milliseconds): number => {
    concurrencyLimit = adjustLimit(
      concurrencyLimit ?? initialLimit(view, now),
      view,
      inProgress,
      now,
    );
    return Math.floor(concurrencyLimit.limit);
  };

  const waitUntil = (request: AdmissionRequest, now: Milliseconds): Milliseconds =>
    now + Math.min(MAXIMUM_WAIT_MILLISECONDS, (request.deadlineAt - now) * DEADLINE_WAIT_SHARE);

  const recordActiveTeam = (team: string, share: number, now: Milliseconds): void => {
    activeTeams.set(team, { share, seenAt: now });
    for (const [activeTeam, { seenAt }] of activeTeams) {
      if (now - seenAt > ACTIVE_TEAM_TIMEOUT_MILLISECONDS) activeTeams.delete(activeTeam);
    }
  };

  const teamLimit = (serviceLimit: number): number => {
    if (activeTeams.size < 2 || serviceLimit < MINIMUM_LIMIT_WITH_HEADROOM) return serviceLimit;
    return serviceLimit - Math.ceil(serviceLimit * HEADROOM_SHARE);
  };

  const addInProgress = (team: string, change: number): void => {
    inProgress += change;
    const next = (inProgressByTeam.get(team) ?? 0) + change;
    if (next > 0) inProgressByTeam.set(team, next);
    else inProgressByTeam.delete(team);
  };

  const admitWaiting = (serviceLimit: number): readonly string[] => {
    const maximumPerTeam = teamLimit(serviceLimit);
    const isBelowTeamLimit = (team: string): boolean =>
      (inProgressByTeam.get(team) ?? 0) < maximumPerTeam;
    const admitted: string[] = [];
    while (inProgress < serviceLimit) {
      const next = queue.pop(isBelowTeamLimit);
      if (next === undefined) break;
      addInProgress(next.team, 1);
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
      recordActiveTeam(team, share, now);
      const serviceLimit = currentLimit(view, now);
      if (queue.lengthOf(team) >= Math.max(1, Math.floor(serviceLimit * QUEUE_LENGTH_FACTOR))) {
        const decision = {
          kind: 'refused',
          retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
        } as const;
        return { decision, admitted: admitWaiting(serviceLimit) };
      }
      queue.push(id, team, share);
      const admitted = admitWaiting(serviceLimit);
      if (!admitted.includes(id)) {
        return { decision: { kind: 'queued', until: waitUntil(request, now) }, admitted };
      }
      const others = admitted.filter((other) => other !== id);
      return { decision: { kind: 'admitted' }, admitted: others };
    },
    release: (team, view, now) => {
      addInProgress(team, -1);
      return admitWaiting(currentLimit(view, now));
    },
    cancel: (id) => queue.remove(id),
    isWithinShare: (team) => {
      const totalShares = [...activeTeams.values()].reduce((sum, { share }) => sum + share, 0);
      const teamShare = (activeTeams.get(team)?.share ?? 0) / Math.max(totalShares, Number.EPSILON);
      return (inProgressByTeam.get(team) ?? 0) <= (concurrencyLimit?.limit ?? 0) * teamShare;
    },
  };
}
