import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { EntryServices } from './entryServices.js';
import {
  capacityOf,
  createAdmissionController,
  type AdmissionController,
} from './requestAdmission.js';
import type { RequestFilter } from './requestFilter.js';
import { limitRefusal } from './requestLimits.js';
import type { IdentifiedRequest } from './requestTypes.js';

/**
 * Returns the priority of a request at its upstream.
 *
 * @remarks
 * Because load reports lag, a few requests may queue at an upstream. Among those of equal priority,
 * requests of teams within their share go before those of teams above it.
 */
function upstreamPriority(request: IdentifiedRequest, withinShare: boolean): number {
  return request.priority * 2 + (withinShare ? 1 : 0);
}

/** Creates the filter that divides the capacity of a busy service among the teams. */
export function createAdmissionFilter(
  services: EntryServices,
): RequestFilter<IdentifiedRequest, IdentifiedRequest> {
  const { directory, time } = services;
  const controllers = new Map<string, AdmissionController>();

  const controllerOf = (service: string): AdmissionController => {
    const controller = controllers.get(service) ?? createAdmissionController(services);
    controllers.set(service, controller);
    return controller;
  };

  return async (request, next) => {
    const capacity = capacityOf(directory, request.service.name, time.now());
    if (capacity === null) return next(request);
    const outcome = await controllerOf(request.service.name).admit(request, capacity);
    if (outcome.kind === 'refused') {
      return limitRefusal(request, ResultCode.Overloaded, outcome.retryAfterMilliseconds);
    }
    try {
      return await next({ ...request, priority: upstreamPriority(request, outcome.withinShare) });
    } finally {
      outcome.release();
    }
  };
}
