import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { RunState } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type {
  AttemptFence,
  AttemptFenceReply,
  AttemptStart,
  StoredAnswer,
} from '@burdockrail/protocol/protocolAttempt.js';

/** Time for which the answer of a finished attempt is kept, in milliseconds. */
const ANSWER_KEPT_MILLISECONDS = 10 * 60_000;

/** Started attempts, and fenced ones, that a table remembers. */
const MAXIMUM_RECORDS = 200_000;

type AttemptRecord =
  | { readonly kind: 'running' }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'finished'; readonly answer: StoredAnswer; readonly keptUntil: Milliseconds };

/** Whether an attempt may start; a refusal tells what is known of its run. */
export type AttemptDecision =
  | { readonly kind: 'start' }
  | { readonly kind: 'refuse'; readonly code: ResultCode; readonly run: RunState };

/** How a non-repeatable attempt ended. */
export type AttemptEnding =
  | { readonly kind: 'finished'; readonly answer: StoredAnswer }
  | { readonly kind: 'failed'; readonly run: RunState };

/** Non-repeatable attempts of one incarnation of an agent. */
export interface AttemptTable {
  /** Decides on an attempt and, when it may start, records it as running. */
  start(start: AttemptStart, now: Milliseconds): AttemptDecision;
  /** Records how a running attempt ended. */
  finish(attemptId: string, ending: AttemptEnding, now: Milliseconds): void;
  /** Tells how far an attempt went; one that never started will not start from now on. */
  fence(request: AttemptFence, now: Milliseconds): AttemptFenceReply;
}

const refusals: Readonly<Record<AttemptRecord['kind'], AttemptDecision>> = {
  running: { kind: 'refuse', code: ResultCode.ClaimInProgress, run: 'unknown' },
  unknown: { kind: 'refuse', code: ResultCode.ClaimOutcomeUnknown, run: 'unknown' },
  finished: { kind: 'refuse', code: ResultCode.ClaimInProgress, run: 'ran' },
};

const neverStarted: AttemptDecision = {
  kind: 'refuse',
  code: ResultCode.AttemptNeverStarted,
  run: 'not-run',
};

const fencedBefore: AttemptDecision = {
  kind: 'refuse',
  code: ResultCode.ClaimFenced,
  run: 'not-run',
};

/**
 * Creates an empty table.
 *
 * @remarks
 * A repeatable attempt, which names no incarnation, always may start and is not recorded. Fenced
 * identities are kept for the whole incarnation, because an entry that was suspended may send its
 * attempt at any later time; when there are too many of them no further attempt starts. Started
 * identities beyond `maximumRecords` are forgotten, the oldest first; from then on the fence of an
 * attempt without a record is answered `unknown`, because it may have run.
 */
export function createAttemptTable(
  incarnation: string,
  maximumRecords: number = MAXIMUM_RECORDS,
): AttemptTable {
  const started = new Map<string, AttemptRecord>();
  const fenced = new Set<string>();
  let hasForgotten = false;

  const releaseAnswers = (now: Milliseconds): void => {
    for (const [attemptId, record] of started) {
      if (record.kind !== 'finished') continue;
      if (record.keptUntil > now) return;
      started.set(attemptId, { kind: 'unknown' });
    }
  };

  const forgetOldest = (): void => {
    for (const [attemptId, record] of started) {
      if (started.size <= maximumRecords) return;
      if (record.kind === 'running') continue;
      started.delete(attemptId);
      hasForgotten = true;
    }
  };

  return {
    start: (start, now) => {
      if (start.agentIncarnation === undefined) return { kind: 'start' };
      if (start.agentIncarnation !== incarnation) return neverStarted;
      if (fenced.has(start.attemptId)) return fencedBefore;
      const record = started.get(start.attemptId);
      if (record !== undefined) return refusals[record.kind];
      if (fenced.size >= maximumRecords) return neverStarted;
      releaseAnswers(now);
      started.set(start.attemptId, { kind: 'running' });
      forgetOldest();
      return { kind: 'start' };
    },
    finish: (attemptId, ending, now) => {
      if (started.get(attemptId)?.kind !== 'running') return;
      // Deleting first moves the record to the end, so that answers stay in order of expiry.
      started.delete(attemptId);
      if (ending.kind === 'finished') {
        const keptUntil = now + ANSWER_KEPT_MILLISECONDS;
        started.set(attemptId, { kind: 'finished', answer: ending.answer, keptUntil });
      } else if (ending.run === 'not-run') {
        fenced.add(attemptId);
      } else {
        started.set(attemptId, { kind: 'unknown' });
      }
    },
    fence: (request, now) => {
      if (request.agentIncarnation !== incarnation) return { kind: 'other-incarnation' };
      releaseAnswers(now);
      if (fenced.has(request.attemptId)) return { kind: 'fenced' };
      const record = started.get(request.attemptId);
      if (record?.kind === 'finished') return { kind: 'finished', answer: record.answer };
      if (record !== undefined) return { kind: record.kind };
      if (hasForgotten) return { kind: 'unknown' };
      if (fenced.size < maximumRecords) fenced.add(request.attemptId);
      return { kind: 'fenced' };
    },
  };
}
