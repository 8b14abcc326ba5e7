import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { RunState } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type {
  AttemptFence,
  AttemptFenceReply,
  AttemptStart,
  StoredAnswer,
} from '@burdockrail/protocol/protocolAttempt.js';

/** Time for which the answer of a finished attempt is stored, in milliseconds. */
const ANSWER_RETENTION_MILLISECONDS = 10 * 60_000;

/** Maximum number of started attempts, and of fenced attempts, that a table records. */
const MAXIMUM_RECORDS = 200_000;

type AttemptRecord =
  | { readonly kind: 'running' }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'finished'; readonly answer: StoredAnswer; readonly expiresAt: Milliseconds };

/** Whether an attempt may start; a refusal says whether the attempt ran, as far as known. */
export type StartDecision =
  | { readonly kind: 'start' }
  | { readonly kind: 'refuse'; readonly code: ResultCode; readonly run: RunState };

/** How a non-repeatable attempt ended. */
export type AttemptEnd =
  | { readonly kind: 'finished'; readonly answer: StoredAnswer }
  | { readonly kind: 'failed'; readonly run: RunState };

/** Records of the non-repeatable attempts of one incarnation of an agent. */
export interface AttemptTable {
  /** Decides whether an attempt may start and, if so, records it as running. */
  start(start: AttemptStart, now: Milliseconds): StartDecision;
  /** Records how a running attempt ended. */
  finish(attemptId: string, end: AttemptEnd, now: Milliseconds): void;
  /** Returns the state of an attempt; one that has not started is prevented from starting. */
  fence(request: AttemptFence, now: Milliseconds): AttemptFenceReply;
}

const refusalsByRecordKind: Readonly<Record<AttemptRecord['kind'], StartDecision>> = {
  running: { kind: 'refuse', code: ResultCode.ClaimInProgress, run: 'unknown' },
  unknown: { kind: 'refuse', code: ResultCode.ClaimOutcomeUnknown, run: 'unknown' },
  finished: { kind: 'refuse', code: ResultCode.ClaimInProgress, run: 'ran' },
};

const neverStarted: StartDecision = {
  kind: 'refuse',
  code: ResultCode.AttemptNeverStarted,
  run: 'not-run',
};

const alreadyFenced: StartDecision = {
  kind: 'refuse',
  code: ResultCode.ClaimFenced,
  run: 'not-run',
};

/**
 * Creates an empty table.
 *
 * @remarks
 * A repeatable attempt, which names no incarnation, may always start and is not recorded. Ids of
 * fenced attempts are kept for the whole incarnation, because an entry whose process was suspended
 * may send its attempt at any later time; beyond `maximumRecords` of them no further attempt
 * starts. Records of started attempts beyond `maximumRecords` are evicted, the oldest first; from
 * then on fencing an attempt without a record returns `unknown`, because it may have run.
 */
export function createAttemptTable(
  incarnation: string,
  maximumRecords: number = MAXIMUM_RECORDS,
): AttemptTable {
  const records = new Map<string, AttemptRecord>();
  const fencedIds = new Set<string>();
  let hasEvicted = false;

  const dropExpiredAnswers = (now: Milliseconds): void => {
    for (const [attemptId, record] of records) {
      if (record.kind !== 'finished') continue;
      if (record.expiresAt > now) return;
      records.set(attemptId, { kind: 'unknown' });
    }
  };

  const evictOldest = (): void => {
    for (const [attemptId, record] of records) {
      if (records.size <= maximumRecords) return;
      if (record.kind === 'running') continue;
      records.delete(attemptId);
      hasEvicted = true;
    }
  };

  return {
    start: (start, now) => {
      if (start.agentIncarnation === undefined) return { kind: 'start' };
      if (start.agentIncarnation !== incarnation) return neverStarted;
      if (fencedIds.has(start.attemptId)) return alreadyFenced;
      const record = records.get(start.attemptId);
      if (record !== undefined) return refusalsByRecordKind[record.kind];
      if (fencedIds.size >= maximumRecords) return neverStarted;
      dropExpiredAnswers(now);
      records.set(start.attemptId, { kind: 'running' });
      evictOldest();
      return { kind: 'start' };
    },
    finish: (attemptId, end, now) => {
      if (records.get(attemptId)?.kind !== 'running') return;
      // Deleting first moves the record to the end, which keeps the records in order of expiry.
      records.delete(attemptId);
      if (end.kind === 'finished') {
        const expiresAt = now + ANSWER_RETENTION_MILLISECONDS;
        records.set(attemptId, { kind: 'finished', answer: end.answer, expiresAt });
      } else if (end.run === 'not-run') {
        fencedIds.add(attemptId);
      } else {
        records.set(attemptId, { kind: 'unknown' });
      }
    },
    fence: (request, now) => {
      if (request.agentIncarnation !== incarnation) return { kind: 'other-incarnation' };
      dropExpiredAnswers(now);
      if (fencedIds.has(request.attemptId)) return { kind: 'fenced' };
      const record = records.get(request.attemptId);
      if (record?.kind === 'finished') return { kind: 'finished', answer: record.answer };
      if (record !== undefined) return { kind: record.kind };
      if (hasEvicted) return { kind: 'unknown' };
      if (fencedIds.size < maximumRecords) fencedIds.add(request.attemptId);
      return { kind: 'fenced' };
    },
  };
}
