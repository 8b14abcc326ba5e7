import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { FleetConfiguration } from '@burdockrail/fleet/fleetConfiguration.js';
import type { EntryServices } from './entryServices.js';
import { answerFilter } from './requestAnswer.js';
import { joinFilters, type NextFilter } from './requestFilter.js';
import { createIdentifyFilter } from './requestIdentify.js';
import { createRecordFilter } from './requestRecord.js';
import { runRepeatable } from './requestRepeatable.js';
import {
  refused,
  type AcceptedRequest,
  type IdentifiedRequest,
  type RequestResult,
} from './requestTypes.js';

/** Takes an accepted request to its end. */
export type RequestPath = (request: AcceptedRequest) => Promise<RequestResult>;

/** Joins the filters of the request path in their order. */
export function createRequestPath(
  services: EntryServices,
  currentFleet: () => FleetConfiguration | undefined,
): RequestPath {
  const identify = joinFilters(answerFilter, createIdentifyFilter(currentFleet));
  const path = joinFilters(identify, createRecordFilter(services));
  const run: NextFilter<IdentifiedRequest> = async (request) => {
    if (request.repeatable) return runRepeatable(services, request);
    const run = request.idempotencyKey === undefined ? 'not-run' : 'unknown';
    return refused(ResultCode.LedgerUnreachable, run);
  };
  return async (request) => path(request, run);
}
