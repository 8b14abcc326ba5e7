import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { AttemptFenceReply } from '@burdockrail/protocol/protocolAttempt.js';
import type { ClaimedAttempt, EpochMilliseconds } from '@burdockrail/protocol/protocolLedger.js';
import type {
  ClaimAnswer,
  ClaimEvent,
  ClaimPhase,
  ClaimSession,
  ClaimStep,
} from './claimSession.js';
import {
  abandonEffect,
  onLedgerResult,
  chooseUpstream,
  claimKey,
  finishWithoutRun,
  fenceAttempt,
  finish,
  enterPhase,
  notRunAnswer,
  refusal,
  releaseClaim,
  runStateWithoutAttempt,
  recordAnswerEffect,
  answerCaller,
} from './claimTransitions.js';

/** Interval between polls of an agent that is still running an attempt, in milliseconds. */
const POLL_INTERVAL_MILLISECONDS = 500;

/** Polls of an agent before a session ends and leaves the claim to later requests with the key. */
const MAXIMUM_POLLS = 60;

/**
 * Time within which the ledger must confirm a decline for the caller to be answered `not-run`, in
 * milliseconds. A request with the same key that arrives later than the decline's stamp plus the
 * ledger's margin may run.
 */
const DECLINE_TIMEOUT_MILLISECONDS = 500;

type Phase<Kind extends ClaimPhase['kind']> = Extract<ClaimPhase, { readonly kind: Kind }>;
type Event<Kind extends ClaimEvent['kind']> = Extract<ClaimEvent, { readonly kind: Kind }>;

type PhaseHandlers<PhaseKind extends ClaimPhase['kind']> = {
  readonly [Kind in ClaimEvent['kind']]?: (
    session: ClaimSession,
    event: Event<Kind>,
    now: EpochMilliseconds,
    phase: Phase<PhaseKind>,
  ) => ClaimStep;
};

const begun: PhaseHandlers<'begun'> = { begin: (session) => chooseUpstream(session) };

const choosing: PhaseHandlers<'choosing'> = {
  chosen: (session, { attempt }, now) => {
    const { digest } = session.request;
    if (attempt === null || digest === null) return finishWithoutRun(session, now);
    return claimKey(session, attempt, digest, now);
  },
};

/** Ends a session without a reply from the ledger and releases the claim that it may hold. */
function finishWithoutLedger(
  session: ClaimSession,
  { attemptId }: ClaimedAttempt,
  now: EpochMilliseconds,
): ClaimStep {
  const command = { kind: 'release', key: session.request.key, attemptId, at: now } as const;
  const answer = refusal(ResultCode.LedgerUnreachable, runStateWithoutAttempt(session));
  return finish(session, answer, { kind: 'follow', command });
}

const claiming: PhaseHandlers<'claiming'> = {
  decided: (session, { result }, now, { attempt }) => {
    if (result.kind !== 'granted') return onLedgerResult(session, result, now);
    // The caller was answered at its deadline, so its request must not run any more.
    if (session.isCallerAnswered) return releaseClaim(session, attempt, true, now);
    return enterPhase(session, { kind: 'running', attempt }, { kind: 'run', attempt });
  },
  undecided: (session, _event, now, { attempt }) => finishWithoutLedger(session, attempt, now),
};

const running: PhaseHandlers<'running'> = {
  answered: (session, { answer }, now, { attempt }) =>
    finish(
      session,
      { kind: 'relayed', answer },
      recordAnswerEffect(session.request.key, attempt.attemptId, answer, now),
    ),
  failed: (session, { failure }, now, { attempt }) => {
    const next = { ...session, lastFailure: failure };
    return failure.sent
      ? fenceAttempt(next, attempt, true, 0)
      : releaseClaim(next, attempt, true, now);
  },
};

type FenceHandlers = {
  readonly [Kind in AttemptFenceReply['kind']]: (
    session: ClaimSession,
    reply: Extract<AttemptFenceReply, { readonly kind: Kind }>,
    now: EpochMilliseconds,
    phase: Phase<'fencing'>,
  ) => ClaimStep;
};

/** Ends a session whose outcome can no longer be determined. */
function abandonClaim(
  session: ClaimSession,
  now: EpochMilliseconds,
  { attempt, isOwn }: Phase<'fencing'>,
): ClaimStep {
  const { code, detail } = session.lastFailure ?? { code: ResultCode.ClaimOutcomeUnknown };
  const answer = refusal(isOwn ? code : ResultCode.ClaimOutcomeUnknown, 'unknown', detail);
  return finish(session, answer, abandonEffect(session.request.key, attempt.attemptId, now));
}

/** Polls the agent again after the interval, until the limit; the caller waits until its deadline. */
function pollLater(session: ClaimSession, phase: Phase<'fencing'>): ClaimStep {
  if (phase.pollCount >= MAXIMUM_POLLS) return finish(session, unknownOutcome(session));
  const nextPhase = { ...phase, pollCount: phase.pollCount + 1 };
  return enterPhase(session, nextPhase, { kind: 'wait', milliseconds: POLL_INTERVAL_MILLISECONDS });
}

function unknownOutcome(session: ClaimSession): ClaimAnswer {
  const { code, detail } = session.lastFailure ?? { code: ResultCode.ClaimOutcomeUnknown };
  return refusal(code, 'unknown', detail);
}

const fenceReplies: FenceHandlers = {
  fenced: (session, _reply, now, { attempt, isOwn }) => releaseClaim(session, attempt, isOwn, now),
  running: (session, _reply, _now, phase) => {
    if (!phase.isOwn) return finish(session, refusal(ResultCode.ClaimInProgress, 'unknown'));
    return pollLater(session, phase);
  },
  finished: (session, { answer }, now, { attempt }) =>
    finish(
      session,
      { kind: 'replayed', answer },
      recordAnswerEffect(session.request.key, attempt.attemptId, answer, now),
    ),
  unknown: (session, _reply, now, phase) => abandonClaim(session, now, phase),
  'other-incarnation': (session, _reply, now, phase) => abandonClaim(session, now, phase),
};

const fencing: PhaseHandlers<'fencing'> = {
  'fence-replied': (session, { reply }, now, phase) => {
    const handler = fenceReplies[reply.kind] as (
      session: ClaimSession,
      reply: AttemptFenceReply,
      now: EpochMilliseconds,
      phase: Phase<'fencing'>,
    ) => ClaimStep;
    return handler(session, reply, now, phase);
  },
  'fence-failed': (session, _event, _now, phase) => {
    if (!phase.isOwn) return finish(session, refusal(ResultCode.ClaimOutcomeUnknown, 'unknown'));
    return answerCaller(pollLater(session, phase), unknownOutcome(session));
  },
  waited: (session, _event, _now, { attempt, isOwn, pollCount }) =>
    fenceAttempt(session, attempt, isOwn, pollCount),
};

const releasing: PhaseHandlers<'releasing'> = {
  decided: (session, { result }, now, { attempt, isOwn }) => {
    const excludedAgents = isOwn
      ? [...session.excludedAgents, attempt.agent]
      : session.excludedAgents;
    const released = { ...session, excludedAgents, releaseCount: session.releaseCount + 1 };
    // The caller has been answered `unknown`, so no further attempt is made.
    if (session.isCallerAnswered) return enterPhase(released, { kind: 'done' });
    return onLedgerResult(released, result, now);
  },
  undecided: (session, _event, now, { attempt }) => finishWithoutLedger(session, attempt, now),
};

const declining: PhaseHandlers<'declining'> = {
  decided: (session, { result }, now, { proposedAt }) => {
    const isTimely = now - proposedAt <= DECLINE_TIMEOUT_MILLISECONDS;
    if (result.kind === 'declined' && isTimely) return finish(session, notRunAnswer(session));
    if (result.kind === 'absent') {
      return finish(session, refusal(ResultCode.ClaimNotFound, 'unknown'));
    }
    return onLedgerResult(session, result, now);
  },
  undecided: (session) => finish(session, refusal(ResultCode.LedgerUnreachable, 'unknown')),
};

const phaseHandlers: { readonly [Kind in ClaimPhase['kind']]: PhaseHandlers<Kind> } = {
  begun,
  choosing,
  claiming,
  running,
  fencing,
  releasing,
  declining,
  done: {},
};

/** Phases in which no attempt of the session has run and none will run after the deadline. */
const phasesWithoutRun: ReadonlySet<ClaimPhase['kind']> = new Set([
  'begun',
  'choosing',
  'claiming',
  'releasing',
]);

/**
 * Handles one event of a non-repeatable request at one entry.
 *
 * @param now - wall-clock time of this process, used to stamp commands.
 * @returns the next state and the effects, which the host performs in order.
 */
export function stepClaimSession(
  session: ClaimSession,
  event: ClaimEvent,
  now: EpochMilliseconds,
): ClaimStep {
  if (event.kind === 'deadline') {
    if (session.phase.kind === 'done') return { session, effects: [] };
    return onDeadline(session);
  }
  const handlers = phaseHandlers[session.phase.kind] as Readonly<
    Partial<
      Record<
        ClaimEvent['kind'],
        (
          session: ClaimSession,
          event: ClaimEvent,
          now: EpochMilliseconds,
          phase: ClaimPhase,
        ) => ClaimStep
      >
    >
  >;
  const handler = handlers[event.kind];
  return handler?.(session, event, now, session.phase) ?? { session, effects: [] };
}

/** Answers the caller at its deadline; the session continues until its claim is resolved. */
function onDeadline(session: ClaimSession): ClaimStep {
  const { kind } = session.phase;
  const run = phasesWithoutRun.has(kind) ? runStateWithoutAttempt(session) : 'unknown';
  const answer = refusal(ResultCode.DeadlineExceeded, run);
  if (kind === 'begun' || kind === 'choosing') return finish(session, answer);
  return answerCaller({ session, effects: [] }, answer);
}
