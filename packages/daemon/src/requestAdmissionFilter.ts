import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { EntryServices } from './entryServices.js';
import { capacityOf, createAdmissionDesk, type AdmissionDesk } from './requestAdmission.js';
import type { RequestFilter } from './requestFilter.js';
import { limitRefusal } from './requestLimits.js';
import type { IdentifiedRequest } from './requestTypes.js';

/**
 * Priority with which a request goes to its upstream.
 *
 * @remarks
 * Lagging reports let a few requests wait at an upstream; there a team within its share goes before
 * one that is above, and neither goes before a request of a higher priority.
 */
function upstreamPriority(request: IdentifiedRequest, withinShare: boolean): number {
  return request.priority * 2 + (withinShare ? 1 : 0);
}

/** Creates the filter that shares out a busy service between the teams. */
export function createAdmissionFilter(
  services: EntryServices,
): RequestFilter<IdentifiedRequest, IdentifiedRequest> {
  const { directory, time } = services;
  const desks = new Map<string, AdmissionDesk>();

  const deskOf = (service: string): AdmissionDesk => {
    const known = desks.get(service) ?? createAdmissionDesk(services);
    desks.set(service, known);
    return known;
  };

  return async (request, next) => {
    const view = capacityOf(directory, request.service.name, time.now());
    if (view === null) return next(request);
    const outcome = await deskOf(request.service.name).enter(request, view);
    if (outcome.kind === 'refused') {
      return limitRefusal(request, ResultCode.Overloaded, outcome.retryAfterMilliseconds);
    }
    try {
      return await next({ ...request, priority: upstreamPriority(request, outcome.withinShare) });
    } finally {
      outcome.leave();
    }
  };
}
