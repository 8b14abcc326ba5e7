import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Retries that all entries together may send to one service. */
export interface RetryAllowance {
  /** Retries per request. */
  readonly ratio: number;
  /** Retries per window in addition to the ratio, for all entries together. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/** One entry's share of the retries to each service. */
export interface SharedRetryBudget {
  /** Counts a caller's request for a service. */
  recordRequest(service: string, now: Milliseconds): void;
  /** Takes one retry; returns false when this entry's share is exhausted. */
  trySpend(service: string, entries: number, now: Milliseconds): boolean;
}

/**
 * Share of the allowance that entries use; the rest is a margin because they do not see each
 * other's windows.
 */
const ALLOWANCE_SHARE = 0.7;

interface ServiceWindow {
  readonly arrivals: Milliseconds[];
  readonly retries: Milliseconds[];
}

function dropBefore(times: Milliseconds[], cutoff: Milliseconds): void {
  while (times[0] !== undefined && times[0] < cutoff) times.shift();
}

/**
 * Creates a budget that has seen no requests.
 *
 * @remarks
 * Keeps retries a fixed share of the load when a failure affects many requests at once. Each
 * entry's budget depends on its own requests and an equal share of the slack, so the sum stays
 * below the allowance without messages between entries.
 */
export function createSharedRetryBudget(allowance: RetryAllowance): SharedRetryBudget {
  const windows = new Map<string, ServiceWindow>();
  const currentWindow = (service: string, now: Milliseconds): ServiceWindow => {
    const window = windows.get(service) ?? { arrivals: [], retries: [] };
    windows.set(service, window);
    const cutoff = now - allowance.windowMilliseconds;
    dropBefore(window.arrivals, cutoff);
    dropBefore(window.retries, cutoff);
    return window;
  };
  return {
    recordRequest: (service, now) => {
      currentWindow(service, now).arrivals.push(now);
    },
    trySpend: (service, entries, now) => {
      const { arrivals, retries } = currentWindow(service, now);
      const entrySlack = allowance.slack / Math.max(1, entries);
      const maximumRetries = ALLOWANCE_SHARE * (allowance.ratio * arrivals.length + entrySlack);
      if (retries.length + 1 > maximumRetries) return false;
      retries.push(now);
      return true;
    },
  };
}
