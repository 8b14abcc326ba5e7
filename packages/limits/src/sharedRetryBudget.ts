import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { createSlackShare, type SlackShare } from './slackShare.js';

/** Retries that all entries together may send to one service. */
export interface RetryAllowance {
  /** Retries per request. */
  readonly ratio: number;
  /** Retries per window in addition to the ratio, for all entries together. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/** What one entry has spent of its share in the last window, and what it is based on. */
export interface RetryUsage {
  readonly requests: number;
  readonly spent: number;
  /** Retries that this entry may send in a window, as of now. */
  readonly allowed: number;
  /** Part of the slack of all entries that this one holds, from 0 to 1. */
  readonly slackPart: number;
}

/** One entry's share of the retries to each service. */
export interface SharedRetryBudget {
  /** Services that have had requests or retries. */
  readonly services: readonly string[];
  usage(service: string, now: Milliseconds): RetryUsage;
  /** Records into how many shares the slack is divided; see {@link SlackShare}. */
  recordShares(...record: Parameters<SlackShare['record']>): void;
  /** Counts a caller's request for a service. */
  recordRequest(service: string, now: Milliseconds): void;
  /** Takes one retry; returns false when this entry's share is exhausted. */
  trySpend(service: string, now: Milliseconds): boolean;
}

/**
 * Share of the allowance that entries use. Retries that are held up on their way may arrive in one
 * window though they were sent in a longer one; the rest allows for a quarter of a window.
 */
const ALLOWANCE_SHARE = 0.8;

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
 * entry's budget depends on its own requests and its share of the slack, so the sum stays below the
 * allowance without messages between entries. What depends on requests counts those of this process
 * only, so it is right whatever the entry knows of others.
 */
export function createSharedRetryBudget(allowance: RetryAllowance): SharedRetryBudget {
  const windows = new Map<string, ServiceWindow>();
  const slackShare = createSlackShare(allowance.windowMilliseconds);
  const currentWindow = (service: string, now: Milliseconds): ServiceWindow => {
    const window = windows.get(service) ?? { arrivals: [], retries: [] };
    windows.set(service, window);
    const cutoff = now - allowance.windowMilliseconds;
    dropBefore(window.arrivals, cutoff);
    dropBefore(window.retries, cutoff);
    return window;
  };
  const usage = (service: string, now: Milliseconds): RetryUsage => {
    const { arrivals, retries } = currentWindow(service, now);
    const slackPart = slackShare.part(now);
    const allowed =
      ALLOWANCE_SHARE * (allowance.ratio * arrivals.length + allowance.slack * slackPart);
    return { requests: arrivals.length, spent: retries.length, allowed, slackPart };
  };
  return {
    get services() {
      return [...windows.keys()];
    },
    usage,
    recordShares: (shares, control, askedAt) => {
      slackShare.record(shares, control, askedAt);
    },
    recordRequest: (service, now) => {
      currentWindow(service, now).arrivals.push(now);
    },
    trySpend: (service, now) => {
      const { spent, allowed } = usage(service, now);
      if (spent + 1 > allowed) return false;
      currentWindow(service, now).retries.push(now);
      return true;
    },
  };
}
