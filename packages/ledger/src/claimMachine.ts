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
  abandoning,
  afterResult,
  choose,
  claim,
  endWithoutRun,
  fence,
  finish,
  moveTo,
  notRun,
  refusal,
  release,
  runWithoutLedger,
  storing,
  tell,
} from './claimTransitions.js';

/** Time between two questions to an agent that still runs an attempt, in milliseconds. */
const POLL_MILLISECONDS = 500;

/** Questions to an agent before a session leaves the claim to later sendings. */
const MAXIMUM_POLLS = 60;

/**
 * Time within which a decline must be answered to be told as `not-run`, in milliseconds. A request
 * that arrived after the decline was stamped may run once the ledger's margin has passed.
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

const begun: PhaseHandlers<'begun'> = { begin: (session) => choose(session) };

const choosing: PhaseHandlers<'choosing'> = {
  chosen: (session, { attempt }, now) => {
    const { digest } = session.request;
    if (attempt === null || digest === null) return endWithoutRun(session, now);
    return claim(session, attempt, digest, now);
  },
};

/** Ends a session that had no answer of the ledger; a claim that it may have made is freed. */
function endWithoutLedger(
  session: ClaimSession,
  { attemptId }: ClaimedAttempt,
  now: EpochMilliseconds,
): ClaimStep {
  const command = { kind: 'release', key: session.request.key, attemptId, at: now } as const;
  const answer = refusal(ResultCode.LedgerUnreachable, runWithoutLedger(session));
  return finish(session, answer, { kind: 'follow', command });
}

const claiming: PhaseHandlers<'claiming'> = {
  decided: (session, { result }, now, { attempt }) => {
    if (result.kind !== 'granted') return afterResult(session, result, now);
    // A caller that was told of its deadline must not have its request run afterwards.
    if (session.told) return release(session, attempt, true, now);
    return moveTo(session, { kind: 'running', attempt }, { kind: 'run', attempt });
  },
  undecided: (session, _event, now, { attempt }) => endWithoutLedger(session, attempt, now),
};

const running: PhaseHandlers<'running'> = {
  answered: (session, { answer }, now, { attempt }) =>
    finish(
      session,
      { kind: 'relayed', answer },
      storing(session.request.key, attempt.attemptId, answer, now),
    ),
  failed: (session, { failure }, now, { attempt }) => {
    const next = { ...session, lastFailure: failure };
    return failure.sent ? fence(next, attempt, true, 0) : release(next, attempt, true, now);
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

/** The outcome is not known and will not be: the caller is told so. */
function giveUp(
  session: ClaimSession,
  now: EpochMilliseconds,
  { attempt, own }: Phase<'fencing'>,
): ClaimStep {
  const { code, detail } = session.lastFailure ?? { code: ResultCode.ClaimOutcomeUnknown };
  const answer = refusal(own ? code : ResultCode.ClaimOutcomeUnknown, 'unknown', detail);
  return finish(session, answer, abandoning(session.request.key, attempt.attemptId, now));
}

/** Asks the agent again after a time; the caller waits for the answer until its deadline. */
function askLater(session: ClaimSession, phase: Phase<'fencing'>): ClaimStep {
  if (phase.polls >= MAXIMUM_POLLS) return finish(session, outcomeOpen(session));
  const waiting = { ...phase, polls: phase.polls + 1 };
  return moveTo(session, waiting, { kind: 'wait', milliseconds: POLL_MILLISECONDS });
}

function outcomeOpen(session: ClaimSession): ClaimAnswer {
  const { code, detail } = session.lastFailure ?? { code: ResultCode.ClaimOutcomeUnknown };
  return refusal(code, 'unknown', detail);
}

const fenceReplies: FenceHandlers = {
  fenced: (session, _reply, now, { attempt, own }) => release(session, attempt, own, now),
  running: (session, _reply, _now, phase) => {
    if (!phase.own) return finish(session, refusal(ResultCode.ClaimInProgress, 'unknown'));
    return askLater(session, phase);
  },
  finished: (session, { answer }, now, { attempt }) =>
    finish(
      session,
      { kind: 'replayed', answer },
      storing(session.request.key, attempt.attemptId, answer, now),
    ),
  unknown: (session, _reply, now, phase) => giveUp(session, now, phase),
  'other-incarnation': (session, _reply, now, phase) => giveUp(session, now, phase),
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
    if (!phase.own) return finish(session, refusal(ResultCode.ClaimOutcomeUnknown, 'unknown'));
    return tell(askLater(session, phase), outcomeOpen(session));
  },
  waited: (session, _event, _now, { attempt, own, polls }) => fence(session, attempt, own, polls),
};

const releasing: PhaseHandlers<'releasing'> = {
  decided: (session, { result }, now, { attempt, own }) => {
    const excluded = own ? [...session.excluded, attempt.agent] : session.excluded;
    const released = { ...session, excluded, releases: session.releases + 1 };
    // A caller that was told `unknown` has its answer: nothing more is sent on its behalf.
    if (session.told) return moveTo(released, { kind: 'done' });
    return afterResult(released, result, now);
  },
  undecided: (session, _event, now, { attempt }) => endWithoutLedger(session, attempt, now),
};

const declining: PhaseHandlers<'declining'> = {
  decided: (session, { result }, now, { since }) => {
    const isTimely = now - since <= DECLINE_TIMEOUT_MILLISECONDS;
    if (result.kind === 'declined' && isTimely) return finish(session, notRun(session));
    if (result.kind === 'absent') {
      return finish(session, refusal(ResultCode.ClaimNotFound, 'unknown'));
    }
    return afterResult(session, result, now);
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

/** Phases in which no attempt of the session can have run, nor can one run later. */
const phasesWithoutRun: ReadonlySet<ClaimPhase['kind']> = new Set([
  'begun',
  'choosing',
  'claiming',
  'releasing',
]);

/**
 * Carries out one event of a non-repeatable request at one entry.
 *
 * @param now - time of this process, used as the stamp of commands.
 * @returns the next state and the effects, which the host carries out in their order.
 */
export function stepClaimSession(
  session: ClaimSession,
  event: ClaimEvent,
  now: EpochMilliseconds,
): ClaimStep {
  if (event.kind === 'deadline') {
    if (session.phase.kind === 'done') return { session, effects: [] };
    return atDeadline(session);
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

/** The caller is told at its deadline; the session goes on to settle its claim. */
function atDeadline(session: ClaimSession): ClaimStep {
  const { kind } = session.phase;
  const run = phasesWithoutRun.has(kind) ? runWithoutLedger(session) : 'unknown';
  const answer = refusal(ResultCode.DeadlineExceeded, run);
  if (kind === 'begun' || kind === 'choosing') return finish(session, answer);
  return tell({ session, effects: [] }, answer);
}
