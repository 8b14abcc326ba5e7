import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Backoff after the first of consecutive failures, in milliseconds. */
const INITIAL_BACKOFF_MILLISECONDS = 500;

/** Longest backoff, in milliseconds. */
const MAXIMUM_BACKOFF_MILLISECONDS = 8_000;

/** Exponential backoff of upstreams, so that a failing one is tried only occasionally. */
export interface UpstreamBackoff {
  /** Records a failure caused by the upstream. */
  recordFailure(agent: string, now: Milliseconds): void;
  recordSuccess(agent: string): void;
  /** True while the upstream should be avoided. */
  isBackingOff(agent: string, now: Milliseconds): boolean;
}

interface FailureRecord {
  readonly consecutiveFailures: number;
  readonly backoffUntil: Milliseconds;
}

/** Creates a backoff without failures; the backoff doubles with each consecutive failure. */
export function createUpstreamBackoff(): UpstreamBackoff {
  const records = new Map<string, FailureRecord>();
  return {
    recordFailure: (agent, now) => {
      const record = records.get(agent);
      const consecutiveFailures = (record?.consecutiveFailures ?? 0) + 1;
      const backoffMilliseconds = Math.min(
        INITIAL_BACKOFF_MILLISECONDS * 2 ** (consecutiveFailures - 1),
        MAXIMUM_BACKOFF_MILLISECONDS,
      );
      records.set(agent, {
        consecutiveFailures,
        backoffUntil: now + backoffMilliseconds,
      });
    },
    recordSuccess: (agent) => {
      records.delete(agent);
    },
    isBackingOff: (agent, now) => now < (records.get(agent)?.backoffUntil ?? now),
  };
}
