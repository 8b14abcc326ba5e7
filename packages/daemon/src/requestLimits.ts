import type { ResultCode } from '@burdockrail/common/resultCode.js';
import { type RunState } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { createTeamLimits, type TeamBounds } from '@burdockrail/limits/teamLimits.js';
import type { EntryServices } from './entryServices.js';
import type { RequestFilter } from './requestFilter.js';
import { refusal, type IdentifiedRequest, type RefusedResult } from './requestTypes.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Returns the run state of a request that this entry did not admit. */
function runStateOf(request: IdentifiedRequest): RunState {
  return request.idempotencyKey === undefined ? 'not-run' : 'unknown';
}

/** Creates a refusal with a retry delay. */
export function limitRefusal(
  request: IdentifiedRequest,
  code: ResultCode,
  retryAfterMilliseconds: Milliseconds,
): RefusedResult {
  const retryAfterSeconds = Math.ceil(retryAfterMilliseconds / MILLISECONDS_PER_SECOND);
  return refusal(code, runStateOf(request), {
    retryAfterSeconds: Math.max(1, retryAfterSeconds),
  });
}

function boundsOf({ team }: IdentifiedRequest): TeamBounds {
  const { name, requestsPerSecond, concurrency } = team;
  return {
    team: name,
    ...(requestsPerSecond === undefined ? {} : { requestsPerSecond }),
    ...(concurrency === undefined ? {} : { concurrency }),
  };
}

/** Creates the filter that limits each team's request rate and concurrency. */
export function createLimitsFilter(
  services: EntryServices,
): RequestFilter<IdentifiedRequest, IdentifiedRequest> {
  const { directory, time } = services;
  const teams = createTeamLimits();

  return async (request, next) => {
    const now = time.now();
    const decision = teams.begin(boundsOf(request), directory.entryCount(now), now);
    if (decision.kind === 'refused') {
      return limitRefusal(request, decision.code, decision.retryAfterMilliseconds);
    }
    try {
      return await next(request);
    } finally {
      teams.end(request.team.name);
    }
  };
}
