import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** What all entries together may resend to one service. */
export interface RetryAllowance {
  /** Resends for each request. */
  readonly ratio: number;
  /** Resends in a window beside the ratio, for all entries together. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/** One entry's part of the resends to all services. */
export interface SharedRetryBudget {
  /** Counts a request of a caller for a service. */
  arrived(service: string, now: Milliseconds): void;
  /** Takes one resend if this entry's part has one left. */
  trySpend(service: string, entries: number, now: Milliseconds): boolean;
}

/** Share of the allowance that is used, as entries do not see each other's windows. */
const USED_SHARE = 0.7;

interface ServiceWindow {
  readonly arrivals: Milliseconds[];
  readonly resends: Milliseconds[];
}

function dropOlder(times: Milliseconds[], limit: Milliseconds): void {
  while (times[0] !== undefined && times[0] < limit) times.shift();
}

/**
 * Creates a budget that has seen no request.
 *
 * @remarks
 * Answers failures that hit many requests at once: resends then stay a fixed share of the load.
 * Every entry earns by its own requests and has an equal part of the slack, so no message between
 * entries is needed to keep the sum below the allowance.
 */
export function createSharedRetryBudget(allowance: RetryAllowance): SharedRetryBudget {
  const windows = new Map<string, ServiceWindow>();
  const windowOf = (service: string, now: Milliseconds): ServiceWindow => {
    const window = windows.get(service) ?? { arrivals: [], resends: [] };
    windows.set(service, window);
    const limit = now - allowance.windowMilliseconds;
    dropOlder(window.arrivals, limit);
    dropOlder(window.resends, limit);
    return window;
  };
  return {
    arrived: (service, now) => {
      windowOf(service, now).arrivals.push(now);
    },
    trySpend: (service, entries, now) => {
      const { arrivals, resends } = windowOf(service, now);
      const part = allowance.slack / Math.max(1, entries);
      const most = USED_SHARE * (allowance.ratio * arrivals.length + part);
      if (resends.length + 1 > most) return false;
      resends.push(now);
      return true;
    },
  };
}
