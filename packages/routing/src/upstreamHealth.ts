import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Time for which an upstream is avoided after its first failure in a row, in milliseconds. */
const FIRST_AVOIDANCE_MILLISECONDS = 500;

/** Longest time for which an upstream is avoided, in milliseconds. */
const LONGEST_AVOIDANCE_MILLISECONDS = 8_000;

/** Remembers failures of upstreams so that a failing one is tried only now and then. */
export interface UpstreamHealth {
  /** Notes a failure that the upstream is to blame for. */
  failed(agent: string, now: Milliseconds): void;
  succeeded(agent: string): void;
  /** Tells whether the upstream is better left out. */
  avoids(agent: string, now: Milliseconds): boolean;
}

interface FailureRecord {
  readonly failures: number;
  readonly avoidedUntil: Milliseconds;
}

/** Creates a memory without failures; the time of avoidance doubles with each failure in a row. */
export function createUpstreamHealth(): UpstreamHealth {
  const records = new Map<string, FailureRecord>();
  return {
    failed: (agent, now) => {
      const record = records.get(agent);
      const failures = (record?.failures ?? 0) + 1;
      const avoidance = Math.min(
        FIRST_AVOIDANCE_MILLISECONDS * 2 ** (failures - 1),
        LONGEST_AVOIDANCE_MILLISECONDS,
      );
      records.set(agent, { failures, avoidedUntil: now + avoidance });
    },
    succeeded: (agent) => {
      records.delete(agent);
    },
    avoids: (agent, now) => now < (records.get(agent)?.avoidedUntil ?? now),
  };
}
