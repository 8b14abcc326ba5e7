import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { CapacityView } from '@burdockrail/limits/concurrencyLimit.js';
import { createServiceAdmission } from '@burdockrail/limits/serviceAdmission.js';
import type { UpstreamDirectory } from '@burdockrail/membership/upstreamDirectory.js';
import type { EntryServices } from './entryServices.js';
import type { IdentifiedRequest } from './requestTypes.js';

/** Whether a request was let through to its service. */
export type AdmissionOutcome =
  | {
      readonly kind: 'admitted';
      /** Whether the team has no more in progress than its share. */
      readonly withinShare: boolean;
      readonly leave: () => void;
    }
  | { readonly kind: 'refused'; readonly retryAfterMilliseconds: Milliseconds };

/** Lets the requests of one service through; waits are bounded. */
export interface AdmissionDesk {
  enter(request: IdentifiedRequest, view: CapacityView): Promise<AdmissionOutcome>;
}

/** Time after which a request that waited in vain may come back, in milliseconds. */
const RETRY_MILLISECONDS = 1_000;

/** Capacity of a service as its upstreams report it; null when none of them reports any. */
export function capacityOf(
  directory: UpstreamDirectory,
  service: string,
  now: Milliseconds,
): CapacityView | null {
  let capacity = 0;
  let running = 0;
  let waiting = 0;
  for (const { announcement } of directory.upstreamsOf(service, now)) {
    if (!announcement.ready || announcement.load === undefined) continue;
    capacity += announcement.load.capacity;
    running += announcement.load.running;
    waiting += announcement.load.waiting;
  }
  return capacity === 0 ? null : { capacity, running, waiting, entries: directory.entryCount(now) };
}

/** Creates the desk of one service. */
export function createAdmissionDesk(services: EntryServices): AdmissionDesk {
  const { time } = services;
  const admission = createServiceAdmission();
  const waiting = new Map<string, () => void>();
  let lastView: CapacityView | undefined;

  const wake = (admitted: readonly string[]): void => {
    for (const id of admitted) waiting.get(id)?.();
  };

  const leave = (team: string, service: string) => (): void => {
    const now = time.now();
    lastView = capacityOf(services.directory, service, now) ?? lastView;
    if (lastView !== undefined) wake(admission.release(team, lastView, now));
  };

  const wait = async (request: IdentifiedRequest, until: Milliseconds): Promise<boolean> => {
    const { requestId, caller } = request;
    return new Promise((resolve) => {
      const settle = (admitted: boolean): void => {
        waiting.delete(requestId);
        clearTimeout(timer);
        caller.gone.removeEventListener('abort', giveUp);
        resolve(admitted);
      };
      const giveUp = (): void => {
        if (admission.cancel(requestId)) settle(false);
      };
      const timer = setTimeout(giveUp, Math.max(0, until - time.now()));
      caller.gone.addEventListener('abort', giveUp, { once: true });
      waiting.set(requestId, () => {
        settle(true);
      });
    });
  };

  return {
    enter: async (request, view) => {
      lastView = view;
      const { requestId: id, team, service, deadlineAt } = request;
      const asked = { id, team: team.name, share: team.share, deadlineAt };
      const { decision, admitted: others } = admission.arrive(asked, view, time.now());
      wake(others);
      const admitted = (): AdmissionOutcome => ({
        kind: 'admitted',
        withinShare: admission.isWithinShare(team.name),
        leave: leave(team.name, service.name),
      });
      switch (decision.kind) {
        case 'admitted':
          return admitted();
        case 'refused':
          return decision;
        case 'queued':
          if (await wait(request, decision.until)) return admitted();
          return { kind: 'refused', retryAfterMilliseconds: RETRY_MILLISECONDS };
      }
    },
  };
}
