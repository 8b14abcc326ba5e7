import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Why a fetch from a source failed. */
export type FetchFailure =
  /** The bytes do not match their digest. */
  | 'corrupt'
  /** The source does not hold the chunk. */
  | 'missing'
  /** The source has too many uploads in progress. */
  | 'busy'
  /** The source did not answer in time. */
  | 'unreachable';

/** Time for which a source is avoided after a first failure, in milliseconds. */
const initialAvoidanceMilliseconds: Readonly<Record<FetchFailure, Milliseconds>> = {
  corrupt: 30_000,
  missing: 0,
  busy: 150,
  unreachable: 1_000,
};

/** Maximum time for which a source is avoided, in milliseconds. */
const MAXIMUM_AVOIDANCE_MILLISECONDS = 120_000;

/** Tracks sources that failed recently. */
export interface SourceAvoidance {
  isAvoided(source: string, now: Milliseconds): boolean;
  failed(source: string, failure: FetchFailure, now: Milliseconds): void;
  succeeded(source: string): void;
}

interface FailureRecord {
  readonly consecutiveFailures: number;
  readonly avoidedUntil: Milliseconds;
}

/** Creates an empty record; each consecutive corrupt or unreachable failure doubles the time. */
export function createSourceAvoidance(): SourceAvoidance {
  const records = new Map<string, FailureRecord>();
  return {
    isAvoided: (source, now) => (records.get(source)?.avoidedUntil ?? now) > now,
    failed: (source, failure, now) => {
      const consecutiveFailures = records.get(source)?.consecutiveFailures ?? 0;
      const avoidanceMilliseconds =
        initialAvoidanceMilliseconds[failure] * 2 ** consecutiveFailures;
      const avoidedUntil = now + Math.min(avoidanceMilliseconds, MAXIMUM_AVOIDANCE_MILLISECONDS);
      const isEscalating = failure === 'corrupt' || failure === 'unreachable';
      records.set(source, {
        consecutiveFailures: consecutiveFailures + (isEscalating ? 1 : 0),
        avoidedUntil,
      });
    },
    succeeded: (source) => {
      const record = records.get(source);
      // Keep the avoidance: one valid chunk does not outweigh a corrupt one sent just before.
      if (record !== undefined && record.avoidedUntil > 0) {
        records.set(source, { consecutiveFailures: 0, avoidedUntil: record.avoidedUntil });
      }
    },
  };
}
