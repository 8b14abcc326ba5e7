import type { FleetConfiguration } from '@burdockrail/fleet/fleetConfiguration.js';
import { createAdmissionFilter } from './requestAdmissionFilter.js';
import { createLimitsFilter } from './requestLimits.js';
import type { EntryServices } from './entryServices.js';
import { answerFilter } from './requestAnswer.js';
import { joinFilters, type NextFilter } from './requestFilter.js';
import { runClaimed } from './requestClaimed.js';
import { createIdentifyFilter } from './requestIdentify.js';
import { createQuarantineFilter } from './requestQuarantine.js';
import { createRecordFilter } from './requestRecord.js';
import { runRepeatable } from './requestRepeatable.js';
import type { AcceptedRequest, IdentifiedRequest, RequestResult } from './requestTypes.js';

/** Takes an accepted request to its end. */
export type RequestPath = (request: AcceptedRequest) => Promise<RequestResult>;

type RequestRunner = (
  services: EntryServices,
  request: IdentifiedRequest,
) => Promise<RequestResult>;

/** What runs a request, by whether it may run more than once. */
const runners: Readonly<Record<'repeatable' | 'claimed', RequestRunner>> = {
  repeatable: runRepeatable,
  claimed: runClaimed,
};

/** Joins the filters of the request path in their order. */
export function createRequestPath(
  services: EntryServices,
  currentFleet: () => FleetConfiguration | undefined,
): RequestPath {
  const identify = joinFilters(answerFilter, createIdentifyFilter(currentFleet));
  const recorded = joinFilters(identify, createRecordFilter(services));
  const quarantine = createQuarantineFilter(services.quarantine, () => services.time.now());
  const limits = createLimitsFilter(services);
  const admission = createAdmissionFilter(services);
  const bounded = joinFilters(joinFilters(limits, quarantine), admission);
  const path = joinFilters(recorded, bounded);
  const run: NextFilter<IdentifiedRequest> = async (request) => {
    const runner = runners[request.repeatable ? 'repeatable' : 'claimed'];
    return runner(services, request);
  };
  return async (request) => path(request, run);
}
