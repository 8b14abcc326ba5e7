import { ResultCode, type RunState } from '@burdockrail/common/resultCode.js';
import type { StoredAnswer } from '@burdockrail/protocol/protocolAttempt.js';
import type {
  ClaimedAttempt,
  ClaimKey,
  EpochMilliseconds,
  LedgerResult,
} from '@burdockrail/protocol/protocolLedger.js';
import type {
  ClaimAnswer,
  ClaimEffect,
  ClaimPhase,
  ClaimSession,
  ClaimStep,
} from './claimSession.js';

/** Claims that one session may release before it makes no further attempt. */
export const MAXIMUM_RELEASES = 4;

export function enterPhase(
  session: ClaimSession,
  phase: ClaimPhase,
  ...effects: readonly ClaimEffect[]
): ClaimStep {
  return { session: { ...session, phase }, effects };
}

/** Answers the caller, unless it has been answered before. */
export function answerCaller(step: ClaimStep, answer: ClaimAnswer): ClaimStep {
  if (step.session.isCallerAnswered) return step;
  const effect: ClaimEffect = { kind: 'answer', answer };
  return {
    session: { ...step.session, isCallerAnswered: true },
    effects: [...step.effects, effect],
  };
}

/** Ends a session and answers the caller. */
export function finish(
  session: ClaimSession,
  answer: ClaimAnswer,
  ...effects: readonly ClaimEffect[]
): ClaimStep {
  return answerCaller(enterPhase(session, { kind: 'done' }, ...effects), answer);
}

export function refusal(code: ResultCode, run: RunState, detail?: string): ClaimAnswer {
  return { kind: 'refused', code, run, ...(detail === undefined ? {} : { detail }) };
}

/**
 * Run state to report if no attempt of this session can run.
 *
 * @remarks
 * Without an idempotency key no other request can share the key, so the request did not run. With
 * one, an earlier request may have run, which only the ledger knows.
 */
export function runStateWithoutAttempt(session: ClaimSession): RunState {
  return session.request.keyed ? 'unknown' : 'not-run';
}

export function chooseUpstream(session: ClaimSession): ClaimStep {
  return enterPhase(
    session,
    { kind: 'choosing' },
    { kind: 'choose', excluded: session.excludedAgents },
  );
}

/** Claims the key for an attempt. */
export function claimKey(
  session: ClaimSession,
  attempt: ClaimedAttempt,
  digest: string,
  at: EpochMilliseconds,
): ClaimStep {
  const { key, receivedAt } = session.request;
  const command = { kind: 'claim', key, digest, attempt, receivedAt, at } as const;
  return enterPhase(session, { kind: 'claiming', attempt }, { kind: 'propose', command });
}

/** Proposes to close the key without a run, so that the caller can be answered `not-run`. */
export function declineKey(session: ClaimSession, at: EpochMilliseconds): ClaimStep {
  const { key, digest } = session.request;
  const command = { kind: 'decline', key, digest, at } as const;
  return enterPhase(session, { kind: 'declining', proposedAt: at }, { kind: 'propose', command });
}

/** Asks the agent to fence an attempt, which prevents it from starting or returns its state. */
export function fenceAttempt(
  session: ClaimSession,
  attempt: ClaimedAttempt,
  isOwn: boolean,
  pollCount: number,
): ClaimStep {
  return enterPhase(
    session,
    { kind: 'fencing', attempt, isOwn, pollCount },
    { kind: 'fence', attempt },
  );
}

/** Releases the key of an attempt that did not start and never will. */
export function releaseClaim(
  session: ClaimSession,
  attempt: ClaimedAttempt,
  isOwn: boolean,
  at: EpochMilliseconds,
): ClaimStep {
  const { attemptId } = attempt;
  const command = { kind: 'release', key: session.request.key, attemptId, at } as const;
  return enterPhase(session, { kind: 'releasing', attempt, isOwn }, { kind: 'propose', command });
}

/** Effect that records an answer in the ledger. */
export function recordAnswerEffect(
  key: ClaimKey,
  attemptId: string,
  answer: StoredAnswer,
  at: EpochMilliseconds,
): ClaimEffect {
  return { kind: 'follow', command: { kind: 'record', key, attemptId, answer, at } };
}

/** Effect that records in the ledger that an outcome stays unknown. */
export function abandonEffect(
  key: ClaimKey,
  attemptId: string,
  at: EpochMilliseconds,
): ClaimEffect {
  return { kind: 'follow', command: { kind: 'abandon', key, attemptId, at } };
}

/** Ends a session without a further attempt; with a key, the ledger must first decline the key. */
export function finishWithoutRun(session: ClaimSession, at: EpochMilliseconds): ClaimStep {
  return session.request.keyed ? declineKey(session, at) : finish(session, notRunAnswer(session));
}

/** Answer that the request did not run, with the reason. */
export function notRunAnswer(session: ClaimSession): ClaimAnswer {
  const { code, detail } = session.lastFailure ?? { code: ResultCode.NoUpstream };
  return refusal(code, 'not-run', detail);
}

type ResultHandlers = {
  readonly [Kind in LedgerResult['kind']]: (
    session: ClaimSession,
    result: Extract<LedgerResult, { readonly kind: Kind }>,
    now: EpochMilliseconds,
  ) => ClaimStep;
};

/** Handlers of the ledger results that do not grant a claim. */
const resultHandlers: ResultHandlers = {
  granted: (session) => finish(session, refusal(ResultCode.InternalError, 'unknown')),
  absent: (session, _result, now) =>
    session.releaseCount < MAXIMUM_RELEASES
      ? chooseUpstream(session)
      : finishWithoutRun(session, now),
  open: (session, { attempt }) =>
    session.releaseCount < MAXIMUM_RELEASES
      ? fenceAttempt(session, attempt, false, 0)
      : finish(session, refusal(ResultCode.ClaimInProgress, 'unknown')),
  finished: (session, { answer }) => finish(session, { kind: 'replayed', answer }),
  unknown: (session) => finish(session, refusal(ResultCode.ClaimOutcomeUnknown, 'unknown')),
  declined: (session) => finish(session, refusal(ResultCode.AttemptNeverStarted, 'unknown')),
  'body-differs': (session) => finish(session, refusal(ResultCode.ClaimBodyDiffers, 'unknown')),
  full: (session) =>
    finish(session, refusal(ResultCode.Overloaded, runStateWithoutAttempt(session))),
};

/** Handles a ledger result that the current phase does not handle itself. */
export function onLedgerResult(
  session: ClaimSession,
  result: LedgerResult,
  now: EpochMilliseconds,
): ClaimStep {
  const handler = resultHandlers[result.kind] as (
    session: ClaimSession,
    result: LedgerResult,
    now: EpochMilliseconds,
  ) => ClaimStep;
  return handler(session, result, now);
}
