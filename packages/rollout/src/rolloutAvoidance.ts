import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Why a source did not give a chunk. */
export type FetchFailure =
  /** The bytes failed their digest. */
  | 'corrupt'
  /** The source does not hold the chunk after all. */
  | 'missing'
  /** The source has too much to upload. */
  | 'busy'
  /** The source did not answer, or not in time. */
  | 'unreachable';

/** First time for which a source is avoided after each failure, in milliseconds. */
const avoidanceMilliseconds: Readonly<Record<FetchFailure, Milliseconds>> = {
  corrupt: 30_000,
  missing: 0,
  busy: 150,
  unreachable: 1_000,
};

/** Longest time for which a source is avoided, in milliseconds. */
const MAXIMUM_AVOIDANCE_MILLISECONDS = 120_000;

/** Sources that failed lately. */
export interface SourceAvoidance {
  isAvoided(source: string, now: Milliseconds): boolean;
  failed(source: string, failure: FetchFailure, now: Milliseconds): void;
  succeeded(source: string): void;
}

interface FailureRecord {
  readonly inSuccession: number;
  readonly until: Milliseconds;
}

/** Creates an empty record; each failure in succession doubles the time of avoidance. */
export function createSourceAvoidance(): SourceAvoidance {
  const records = new Map<string, FailureRecord>();
  return {
    isAvoided: (source, now) => (records.get(source)?.until ?? now) > now,
    failed: (source, failure, now) => {
      const inSuccession = records.get(source)?.inSuccession ?? 0;
      const time = avoidanceMilliseconds[failure] * 2 ** inSuccession;
      const until = now + Math.min(time, MAXIMUM_AVOIDANCE_MILLISECONDS);
      const isCounted = failure === 'corrupt' || failure === 'unreachable';
      records.set(source, { inSuccession: inSuccession + (isCounted ? 1 : 0), until });
    },
    succeeded: (source) => {
      const record = records.get(source);
      // One good chunk does not clear a source of the corrupt one it sent just before.
      if (record !== undefined && record.until > 0) {
        records.set(source, { inSuccession: 0, until: record.until });
      }
    },
  };
}
