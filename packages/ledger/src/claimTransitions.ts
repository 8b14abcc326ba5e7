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

/** Claims that one session gets released at most before it gives up. */
export const MAXIMUM_RELEASES = 4;

/** Moves a session on. */
export function moveTo(
  session: ClaimSession,
  phase: ClaimPhase,
  ...effects: readonly ClaimEffect[]
): ClaimStep {
  return { session: { ...session, phase }, effects };
}

/** Tells the caller, unless it was told before. */
export function tell(step: ClaimStep, answer: ClaimAnswer): ClaimStep {
  if (step.session.told) return step;
  const effect: ClaimEffect = { kind: 'answer', answer };
  return { session: { ...step.session, told: true }, effects: [...step.effects, effect] };
}

/** Ends a session with an answer. */
export function finish(
  session: ClaimSession,
  answer: ClaimAnswer,
  ...effects: readonly ClaimEffect[]
): ClaimStep {
  return tell(moveTo(session, { kind: 'done' }, ...effects), answer);
}

/** A refusal as an answer. */
export function refusal(code: ResultCode, run: RunState, detail?: string): ClaimAnswer {
  return { kind: 'refused', code, run, ...(detail === undefined ? {} : { detail }) };
}

/**
 * What is known when this session sent nothing that can run.
 *
 * @remarks
 * Without a key of the caller there is no earlier sending, so the request did not run. With one an
 * earlier sending may have run, and only the ledger's word settles that.
 */
export function runWithoutLedger(session: ClaimSession): RunState {
  return session.request.keyed ? 'unknown' : 'not-run';
}

/** Looks for an upstream. */
export function choose(session: ClaimSession): ClaimStep {
  return moveTo(session, { kind: 'choosing' }, { kind: 'choose', excluded: session.excluded });
}

/** Claims the key for an attempt. */
export function claim(
  session: ClaimSession,
  attempt: ClaimedAttempt,
  digest: string,
  at: EpochMilliseconds,
): ClaimStep {
  const { key, receivedAt } = session.request;
  const command = { kind: 'claim', key, digest, attempt, receivedAt, at } as const;
  return moveTo(session, { kind: 'claiming', attempt }, { kind: 'propose', command });
}

/** Closes the key without a run, so that `not-run` can be told. */
export function decline(session: ClaimSession, at: EpochMilliseconds): ClaimStep {
  const { key, digest } = session.request;
  const command = { kind: 'decline', key, digest, at } as const;
  return moveTo(session, { kind: 'declining', since: at }, { kind: 'propose', command });
}

/** Asks the agent of an attempt how far it went. */
export function fence(
  session: ClaimSession,
  attempt: ClaimedAttempt,
  own: boolean,
  polls: number,
): ClaimStep {
  return moveTo(session, { kind: 'fencing', attempt, own, polls }, { kind: 'fence', attempt });
}

/** Frees the key of an attempt that never started and never will. */
export function release(
  session: ClaimSession,
  attempt: ClaimedAttempt,
  own: boolean,
  at: EpochMilliseconds,
): ClaimStep {
  const { attemptId } = attempt;
  const command = { kind: 'release', key: session.request.key, attemptId, at } as const;
  return moveTo(session, { kind: 'releasing', attempt, own }, { kind: 'propose', command });
}

/** Effect that stores an answer. */
export function storing(
  key: ClaimKey,
  attemptId: string,
  answer: StoredAnswer,
  at: EpochMilliseconds,
): ClaimEffect {
  return { kind: 'follow', command: { kind: 'record', key, attemptId, answer, at } };
}

/** Effect that gives up on an outcome for good. */
export function abandoning(key: ClaimKey, attemptId: string, at: EpochMilliseconds): ClaimEffect {
  return { kind: 'follow', command: { kind: 'abandon', key, attemptId, at } };
}

/** Ends a session whose request has nowhere to go: `not-run`, once that is sure. */
export function endWithoutRun(session: ClaimSession, at: EpochMilliseconds): ClaimStep {
  return session.request.keyed ? decline(session, at) : finish(session, notRun(session));
}

/** Tells that the request did not run, and why. */
export function notRun(session: ClaimSession): ClaimAnswer {
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

/** What the ledger's words mean for a session that is not granted its claim. */
const resultHandlers: ResultHandlers = {
  granted: (session) => finish(session, refusal(ResultCode.InternalError, 'unknown')),
  absent: (session, _result, now) =>
    session.releases < MAXIMUM_RELEASES ? choose(session) : endWithoutRun(session, now),
  open: (session, { attempt }) =>
    session.releases < MAXIMUM_RELEASES
      ? fence(session, attempt, false, 0)
      : finish(session, refusal(ResultCode.ClaimInProgress, 'unknown')),
  finished: (session, { answer }) => finish(session, { kind: 'replayed', answer }),
  unknown: (session) => finish(session, refusal(ResultCode.ClaimOutcomeUnknown, 'unknown')),
  declined: (session) => finish(session, refusal(ResultCode.AttemptNeverStarted, 'unknown')),
  'body-differs': (session) => finish(session, refusal(ResultCode.ClaimBodyDiffers, 'unknown')),
  full: (session) => finish(session, refusal(ResultCode.Overloaded, runWithoutLedger(session))),
};

/** Goes on after any result of the ledger that has no meaning of its own in the present phase. */
export function afterResult(
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
