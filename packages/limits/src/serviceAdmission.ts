import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { createFairQueue } from './fairQueue.js';

/** A request that asks for a place at a service. */
export interface AdmissionRequest {
  readonly team: string;
  readonly weight: number;
  readonly priority: number;
  /** Called when the request may go on. */
  readonly onAdmitted: () => void;
}

/** What one entry knows of a service's capacity. */
export interface ServiceRoom {
  /** Requests that this entry may have in progress at the service whatever others do. */
  readonly share: number;
  /** Places that are probably free at the service beyond the shares. */
  readonly free: number;
}

/** Whether a request goes on at once, waits, or is better refused now. */
export type AdmissionDecision =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'queued' }
  | { readonly kind: 'shed'; readonly retryAfterMilliseconds: Milliseconds };

/** Admission of requests to one service at one entry. */
export interface ServiceAdmission {
  arrive(
    request: AdmissionRequest,
    room: ServiceRoom,
    longestWait: Milliseconds,
  ): AdmissionDecision;
  /** Gives up a request that waits. */
  withdraw(request: AdmissionRequest): void;
  /** Notes the end of an admitted request. */
  finished(now: Milliseconds): void;
  /** Lets waiting requests go on as far as there is room. */
  pump(room: ServiceRoom): void;
  readonly waiting: number;
}

/** Weight of the latest interval between two ends in their mean. */
const INTERVAL_WEIGHT = 0.1;

/** Interval between two ends that is assumed before any was seen, in milliseconds. */
const INITIAL_INTERVAL_MILLISECONDS = 20;

/** Longest interval that counts; longer ones mean that nothing was asked for. */
const LONGEST_INTERVAL_MILLISECONDS = 1_000;

/** Creates the admission of one service with no request in progress. */
export function createServiceAdmission(): ServiceAdmission {
  const queue = createFairQueue<AdmissionRequest>();
  const weights = new Map<string, number>();
  let running = 0;
  let interval = INITIAL_INTERVAL_MILLISECONDS;
  let endedAt: Milliseconds | undefined;

  const hasRoom = ({ share, free }: ServiceRoom): boolean => running < share || free > 0;

  /** Expected wait of one more request of a team, if all teams that wait get their shares. */
  const expectedWait = ({ team, weight }: AdmissionRequest): Milliseconds => {
    weights.set(team, weight);
    const waiting = [...weights].filter(([name]) => name === team || queue.sizeOf(name) > 0);
    const total = waiting.reduce((sum, [, other]) => sum + other, 0);
    return (queue.sizeOf(team) + 1) * interval * (total / weight);
  };

  return {
    get waiting() {
      return queue.size;
    },
    arrive: (request, room, longestWait) => {
      if (queue.size === 0 && hasRoom(room)) {
        running += 1;
        return { kind: 'admitted' };
      }
      const wait = expectedWait(request);
      if (wait > longestWait) return { kind: 'shed', retryAfterMilliseconds: wait };
      queue.push({ ...request, item: request });
      return { kind: 'queued' };
    },
    withdraw: (request) => {
      queue.remove(request);
    },
    finished: (now) => {
      running -= 1;
      if (endedAt !== undefined) {
        const latest = Math.min(LONGEST_INTERVAL_MILLISECONDS, now - endedAt);
        interval += INTERVAL_WEIGHT * (latest - interval);
      }
      endedAt = now;
    },
    pump: ({ share, free }) => {
      let left = free;
      while (queue.size > 0 && (running < share || left > 0)) {
        if (running >= share) left -= 1;
        running += 1;
        queue.pop()?.onAdmitted();
      }
    },
  };
}
