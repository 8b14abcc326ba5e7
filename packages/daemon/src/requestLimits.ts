import { ResultCode } from '@burdockrail/common/resultCode.js';
import { createTeamLimits } from '@burdockrail/limits/teamLimits.js';
import type { PeerSettings } from '@burdockrail/settings/settingsSchema.js';
import type { EntryServices } from './entryServices.js';
import type { RequestFilter } from './requestFilter.js';
import { secondsUntil } from './requestQuarantine.js';
import { refused, runBeforeSending, type IdentifiedRequest } from './requestTypes.js';

/** Creates the filter that keeps each team within its rate and concurrency. */
export function createLimitsFilter(
  services: EntryServices,
  peers: readonly PeerSettings[],
): RequestFilter<IdentifiedRequest, IdentifiedRequest> {
  const limits = createTeamLimits();
  const entries = Math.max(1, peers.filter((peer) => peer.roles.includes('entry')).length);
  return async (request, next) => {
    const { name, requestsPerSecond, concurrency } = request.team;
    const limit = { requestsPerSecond, concurrency };
    const decision = limits.tryTake(name, limit, entries, services.time.now());
    const run = runBeforeSending(request);
    if (decision.kind === 'rate') {
      const retryAfterSeconds = secondsUntil(decision.retryAfterMilliseconds);
      return refused(ResultCode.RateLimited, run, { retryAfterSeconds });
    }
    if (decision.kind === 'concurrency') return refused(ResultCode.ConcurrencyLimited, run);
    try {
      return await next(request);
    } finally {
      limits.release(name);
    }
  };
}
