import type { EntryContext } from './entryContext.js';
import type { EntryRequest } from './entryRequest.js';

/** Retries of one request, taken from the budget that all entries share. */
export interface RequestRetries {
  /**
   * Takes a retry for an attempt after a number of others; returns false when none is left. One for
   * an attempt that turned out not to be sent is left to the next.
   */
  take(earlierAttempts: number): boolean;
}

/** Creates the retries of a request that has taken none. */
export function createRequestRetries(entry: EntryContext, request: EntryRequest): RequestRetries {
  const { time, retryBudget, metrics, log } = entry;
  const { service } = request.admitted;
  let taken = 0;
  let isRefused = false;

  const recordRefusal = (): void => {
    // A request asks again while its upstream stays silent.
    if (isRefused) return;
    isRefused = true;
    const { requests, spent, allowed, slackPart } = retryBudget.usage(service, time.now());
    metrics.count('burdockrail_retries_total', { service, outcome: 'refused' });
    log.write('retryRefused', {
      request: request.id,
      service,
      spent,
      allowed: Math.floor(allowed),
      requests,
      slackPart,
    });
  };

  return {
    take: (earlierAttempts) => {
      if (earlierAttempts <= taken) return true;
      if (!retryBudget.trySpend(service, time.now())) {
        recordRefusal();
        return false;
      }
      metrics.count('burdockrail_retries_total', { service, outcome: 'taken' });
      taken = earlierAttempts;
      return true;
    },
  };
}
