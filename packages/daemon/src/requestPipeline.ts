import type { FleetConfiguration } from '@burdockrail/fleet/fleetConfiguration.js';
import { createAdmissionFilter } from './requestAdmissionFilter.js';
import { createLimitsFilter } from './requestLimits.js';
import type { EntryServices } from './entryServices.js';
import { refusalFilter } from './requestAnswer.js';
import { composeFilters, type NextStep } from './requestFilter.js';
import { runClaimed } from './requestClaimed.js';
import { createIdentifyFilter } from './requestIdentify.js';
import { createQuarantineFilter } from './requestQuarantine.js';
import { createMetricsFilter } from './requestMetrics.js';
import { runRepeatable } from './requestRepeatable.js';
import type { AcceptedRequest, IdentifiedRequest, RequestResult } from './requestTypes.js';

/** Processes an accepted request to completion. */
export type RequestPipeline = (request: AcceptedRequest) => Promise<RequestResult>;

type RequestRunner = (
  services: EntryServices,
  request: IdentifiedRequest,
) => Promise<RequestResult>;

/** Runners of repeatable requests and of those that need a claim. */
const runners: Readonly<Record<'repeatable' | 'claimed', RequestRunner>> = {
  repeatable: runRepeatable,
  claimed: runClaimed,
};

/** Composes the filters of the request pipeline. */
export function createRequestPipeline(
  services: EntryServices,
  currentFleet: () => FleetConfiguration | undefined,
): RequestPipeline {
  const identify = composeFilters(refusalFilter, createIdentifyFilter(currentFleet));
  const recorded = composeFilters(identify, createMetricsFilter(services));
  const quarantine = createQuarantineFilter(services.quarantine, () => services.time.now());
  const limits = createLimitsFilter(services);
  const admission = createAdmissionFilter(services);
  const limited = composeFilters(composeFilters(limits, quarantine), admission);
  const pipeline = composeFilters(recorded, limited);
  const run: NextStep<IdentifiedRequest> = async (request) => {
    const runner = runners[request.repeatable ? 'repeatable' : 'claimed'];
    return runner(services, request);
  };
  return async (request) => pipeline(request, run);
}
