import type { EntryServices } from './entryServices.js';
import type { RequestFilter } from './requestFilter.js';
import type { IdentifiedRequest } from './requestTypes.js';

/** Creates the filter that records the result and durations of each request by team and service. */
export function createMetricsFilter(
  services: EntryServices,
): RequestFilter<IdentifiedRequest, IdentifiedRequest> {
  const { metrics, time } = services;
  return async (request, next) => {
    request.caller.onGap = (gap) => {
      metrics.recordPartGap(request.team.name, request.service.name, gap);
    };
    const result = await next(request);
    const { firstByteAt } = request.caller;
    metrics.recordRequest({
      team: request.team.name,
      service: request.service.name,
      code: result.code,
      latency: time.now() - request.arrivedAt,
      ...(firstByteAt === undefined ? {} : { timeToFirstByte: firstByteAt - request.arrivedAt }),
    });
    return result;
  };
}
