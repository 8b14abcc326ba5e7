import { ResultCode } from '@burdockrail/common/resultCode.js';
import {
  createServiceAdmission,
  type AdmissionRequest,
  type ServiceAdmission,
  type ServiceRoom,
} from '@burdockrail/limits/serviceAdmission.js';
import type { PeerSettings } from '@burdockrail/settings/settingsSchema.js';
import type { EntryServices } from './entryServices.js';
import type { RequestFilter } from './requestFilter.js';
import { secondsUntil } from './requestQuarantine.js';
import {
  refused,
  runBeforeSending,
  type IdentifiedRequest,
  type RequestResult,
} from './requestTypes.js';

/** Longest time that a request waits for capacity, in milliseconds. */
const LONGEST_WAIT_MILLISECONDS = 2_000;

/** Part of a request's remaining time that it may spend waiting. */
const WAIT_SHARE = 0.5;

/** Time between two looks at capacity that became free elsewhere, in milliseconds. */
const PUMP_INTERVAL_MILLISECONDS = 25;

/** Room of a service without load reports: nothing is known that would hold a request back. */
const unknownRoom: ServiceRoom = {
  share: Number.POSITIVE_INFINITY,
  free: Number.POSITIVE_INFINITY,
};

/**
 * Room of a service as this entry sees it.
 *
 * @remarks
 * The capacity that upstreams report is divided by the entries that can reach them; what reports
 * and own sendings leave free beyond that may be used by any entry.
 */
function roomOf(
  services: EntryServices,
  peers: readonly PeerSettings[],
  service: string,
): ServiceRoom {
  const views = services.directory
    .upstreamsOf(service, services.time.now())
    .filter(({ announcement }) => announcement.ready);
  const reporting = views.filter(({ announcement }) => announcement.load !== undefined);
  if (reporting.length === 0 || reporting.length < views.length) return unknownRoom;
  const places = new Set([
    services.dataCentre,
    ...views.map(({ announcement }) => announcement.dataCentre),
  ]);
  const entries = peers.filter(
    (peer) => peer.roles.includes('entry') && places.has(peer.dataCentre),
  ).length;
  let capacity = 0;
  let free = 0;
  for (const view of reporting) {
    const room = services.router.roomAt(view);
    capacity += room.capacity;
    free += Math.max(0, room.capacity - room.estimated);
  }
  return { share: Math.max(1, Math.floor(capacity / Math.max(1, entries))), free };
}

/** Waits for a place; false when none came in time. */
async function awaitPlace(
  admission: ServiceAdmission,
  start: (onAdmitted: () => void) => AdmissionRequest,
  longestWait: number,
  gone: AbortSignal,
): Promise<boolean> {
  return new Promise((resolve) => {
    const finish = (admitted: boolean): void => {
      clearTimeout(timer);
      gone.removeEventListener('abort', giveUp);
      resolve(admitted);
    };
    const giveUp = (): void => {
      admission.withdraw(request);
      finish(false);
    };
    const timer = setTimeout(giveUp, longestWait);
    gone.addEventListener('abort', giveUp, { once: true });
    const request = start(() => {
      finish(true);
    });
  });
}

/** Creates the filter that shares a saturated service between teams. */
export function createAdmissionFilter(
  services: EntryServices,
  peers: readonly PeerSettings[],
): RequestFilter<IdentifiedRequest, IdentifiedRequest> {
  const admissions = new Map<string, ServiceAdmission>();

  const admissionOf = (service: string): ServiceAdmission => {
    const known = admissions.get(service) ?? createServiceAdmission();
    admissions.set(service, known);
    return known;
  };

  const pump = (service: string): void => {
    admissionOf(service).pump(roomOf(services, peers, service));
  };

  const pumpAll = (): void => {
    for (const [service, admission] of admissions) if (admission.waiting > 0) pump(service);
  };
  setInterval(pumpAll, PUMP_INTERVAL_MILLISECONDS).unref();

  const shed = (request: IdentifiedRequest, wait: number): RequestResult =>
    refused(ResultCode.Overloaded, runBeforeSending(request), {
      retryAfterSeconds: secondsUntil(wait),
    });

  const takePlace = async (request: IdentifiedRequest): Promise<RequestResult | null> => {
    const service = request.service.name;
    const admission = admissionOf(service);
    const room = roomOf(services, peers, service);
    const timeLeft = request.deadlineAt - services.time.now();
    const longestWait = Math.min(LONGEST_WAIT_MILLISECONDS, timeLeft * WAIT_SHARE);
    let decision: ReturnType<ServiceAdmission['arrive']> = { kind: 'admitted' };
    const start = (onAdmitted: () => void): AdmissionRequest => {
      const { share: weight, name: team } = request.team;
      const wish = { team, weight, priority: request.priority, onAdmitted };
      decision = admission.arrive(wish, room, longestWait);
      if (decision.kind !== 'queued') queueMicrotask(onAdmitted);
      return wish;
    };
    const admitted = await awaitPlace(admission, start, longestWait, request.caller.gone);
    const made = decision as ReturnType<ServiceAdmission['arrive']>;
    if (made.kind === 'shed') return shed(request, made.retryAfterMilliseconds);
    return admitted ? null : shed(request, longestWait);
  };

  return async (request, next) => {
    const refusal = await takePlace(request);
    if (refusal !== null) return refusal;
    const service = request.service.name;
    try {
      return await next(request);
    } finally {
      admissionOf(service).finished(services.time.now());
      pump(service);
    }
  };
}
