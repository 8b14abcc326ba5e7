import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { CapacityView } from '@burdockrail/limits/concurrencyLimit.js';
import { createServiceAdmission } from '@burdockrail/limits/serviceAdmission.js';
import type { UpstreamDirectory } from '@burdockrail/membership/upstreamDirectory.js';
import type { EntryServices } from './entryServices.js';
import type { IdentifiedRequest } from './requestTypes.js';

/** Outcome of a request for admission to its service. */
export type AdmissionOutcome =
  | {
      readonly kind: 'admitted';
      /** True if the team has no more requests in progress than its share. */
      readonly withinShare: boolean;
      readonly release: () => void;
    }
  | { readonly kind: 'refused'; readonly retryAfterMilliseconds: Milliseconds };

/** Admission control for one service, with bounded waits. */
export interface AdmissionController {
  admit(request: IdentifiedRequest, capacity: CapacityView): Promise<AdmissionOutcome>;
}

/** Retry delay of a request that was not admitted within its wait, in milliseconds. */
const RETRY_AFTER_MILLISECONDS = 1_000;

/** Returns a service's capacity as reported by its upstreams; null if none of them reports it. */
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

/** Creates the admission controller of one service. */
export function createAdmissionController(services: EntryServices): AdmissionController {
  const { time } = services;
  const admission = createServiceAdmission();
  const waitingRequests = new Map<string, () => void>();
  let lastCapacity: CapacityView | undefined;

  const resolveAdmitted = (admitted: readonly string[]): void => {
    for (const id of admitted) waitingRequests.get(id)?.();
  };

  const createRelease = (team: string, service: string) => (): void => {
    const now = time.now();
    lastCapacity = capacityOf(services.directory, service, now) ?? lastCapacity;
    if (lastCapacity !== undefined) resolveAdmitted(admission.release(team, lastCapacity, now));
  };

  const waitForAdmission = async (
    request: IdentifiedRequest,
    until: Milliseconds,
  ): Promise<boolean> => {
    const { requestId, caller } = request;
    return new Promise((resolve) => {
      const finishWait = (admitted: boolean): void => {
        waitingRequests.delete(requestId);
        clearTimeout(timer);
        caller.disconnected.removeEventListener('abort', cancelWait);
        resolve(admitted);
      };
      const cancelWait = (): void => {
        if (admission.cancel(requestId)) finishWait(false);
      };
      const timer = setTimeout(cancelWait, Math.max(0, until - time.now()));
      caller.disconnected.addEventListener('abort', cancelWait, { once: true });
      waitingRequests.set(requestId, () => {
        finishWait(true);
      });
    });
  };

  return {
    admit: async (request, capacity) => {
      lastCapacity = capacity;
      const { requestId: id, team, service, deadlineAt } = request;
      const admissionRequest = { id, team: team.name, share: team.share, deadlineAt };
      const { decision, admitted: alsoAdmitted } = admission.arrive(
        admissionRequest,
        capacity,
        time.now(),
      );
      resolveAdmitted(alsoAdmitted);
      const admitted = (): AdmissionOutcome => ({
        kind: 'admitted',
        withinShare: admission.isWithinShare(team.name),
        release: createRelease(team.name, service.name),
      });
      switch (decision.kind) {
        case 'admitted':
          return admitted();
        case 'refused':
          return decision;
        case 'queued':
          if (await waitForAdmission(request, decision.until)) return admitted();
          return { kind: 'refused', retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS };
      }
    },
  };
}
