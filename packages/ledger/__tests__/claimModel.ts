import { digestOf } from '@burdockrail/common/digest.js';
import type { LedgerCommand, LedgerResult } from '@burdockrail/protocol/protocolLedger.js';
import { stepClaimSession } from '../src/claimMachine.js';
import {
  createClaimSession,
  type ClaimAnswer,
  type ClaimEffect,
  type ClaimEvent,
  type ClaimSession,
} from '../src/claimSession.js';
import { defaultLedgerBounds } from '../src/ledgerBounds.js';
import { createLedgerState } from '../src/ledgerState.js';
import {
  createClaimAgents,
  failedEvent,
  pick,
  type ChooseNumber,
  type Guard,
  type Reply,
} from './claimAgents.js';

/** Largest difference between the clocks of two entries. */
const MAXIMUM_CLOCK_SKEW_MILLISECONDS = 1_000;
const MAXIMUM_SUBMISSIONS = 6;
const CLAIM_KEY = { team: 'desk', service: 'kasa', key: 'deposit-1' };

/** One submission of the request to one entry. */
export interface Submission {
  session: ClaimSession;
  isEntryAlive: boolean;
  readonly hasIdempotencyKey: boolean;
  readonly clockSkewMilliseconds: number;
  readonly arrivedAtStep: number;
  callerAnswer: { readonly answer: ClaimAnswer; readonly atStep: number } | null;
}

/** Model of entries, agents, the ledger and a network that loses and duplicates messages. */
export interface ClaimModel {
  /** One element per run at the service: the submission whose attempt ran, in order. */
  readonly runs: readonly Submission[];
  readonly submissions: readonly Submission[];
  /** Performs one action selected by the generated numbers. */
  act(): void;
  /** Delivers the messages that are still in flight. */
  settle(): void;
}

/** A reply that a submission waits for; settled by the reply or by the timeout. */
interface PendingReply {
  settled: boolean;
  readonly submission: Submission;
  readonly onTimeout: ClaimEvent;
}

type EffectHandlers = {
  readonly [Kind in ClaimEffect['kind']]: (
    submission: Submission,
    effect: Extract<ClaimEffect, { readonly kind: Kind }>,
  ) => void;
};

export function createClaimModel(choose: ChooseNumber, disabledGuard?: Guard): ClaimModel {
  const runs: Submission[] = [];
  const submissions: Submission[] = [];
  const pendingReplies: PendingReply[] = [];
  let network: (() => void)[] = [];
  let step = 0;
  let clock = 1_000_000;
  const agents = createClaimAgents(choose, disabledGuard);
  const ledger = createLedgerState({
    ...defaultLedgerBounds,
    ...(disabledGuard === 'decline-holds' ? { declineMarginMilliseconds: -Infinity } : {}),
  });

  const apply = (command: LedgerCommand): LedgerResult => {
    if (disabledGuard === 'ledger-grants-once' && command.kind === 'claim')
      return { kind: 'granted' };
    const view = ledger.query({ kind: 'view', key: command.key });
    const effective =
      disabledGuard === 'release-names-attempt' &&
      command.kind === 'release' &&
      view.kind === 'open'
        ? { ...command, attemptId: view.attempt.attemptId }
        : command;
    return ledger.apply(effective, { index: step, term: 1 });
  };

  const handleEvent = (submission: Submission, event: ClaimEvent): void => {
    if (!submission.isEntryAlive) return;
    const { session, effects } = stepClaimSession(
      submission.session,
      event,
      clock + submission.clockSkewMilliseconds,
    );
    submission.session = session;
    for (const effect of effects) performEffect(submission, effect);
  };

  const settleReply = (pending: PendingReply, event: ClaimEvent): void => {
    if (pending.settled) return;
    pending.settled = true;
    handleEvent(pending.submission, event);
  };

  const expectReply = (submission: Submission, onTimeout: ClaimEvent): Reply => {
    const pending: PendingReply = { settled: false, submission, onTimeout };
    pendingReplies.push(pending);
    return (event) => {
      network.push(() => {
        settleReply(pending, event);
      });
    };
  };

  const handlers: EffectHandlers = {
    choose: (submission, { excluded }) => {
      handleEvent(submission, { kind: 'chosen', attempt: agents.choose(excluded) });
    },
    propose: (submission, { command }) => {
      const reply = expectReply(submission, { kind: 'undecided' });
      network.push(() => {
        reply({ kind: 'decided', result: apply(command) });
      });
    },
    follow: (_submission, { command }) => {
      network.push(() => {
        apply(command);
      });
    },
    run: (submission, { attempt }) => {
      const isUnreachable = choose(8) === 0;
      if (isUnreachable) {
        handleEvent(submission, failedEvent(false));
        return;
      }
      const reply = expectReply(submission, failedEvent(true));
      network.push(() => {
        agents.run(attempt, reply, () => {
          runs.push(submission);
        });
      });
    },
    fence: (submission, { attempt }) => {
      const reply = expectReply(submission, { kind: 'fence-failed' });
      network.push(() => {
        reply({ kind: 'fence-replied', reply: agents.fence(attempt) });
      });
    },
    wait: (submission) => {
      expectReply(submission, { kind: 'waited' })({ kind: 'waited' });
    },
    answer: (submission, { answer }) => {
      submission.callerAnswer = { answer, atStep: step };
    },
  };

  const performEffect = (submission: Submission, effect: ClaimEffect): void => {
    const handler = handlers[effect.kind] as (submission: Submission, effect: ClaimEffect) => void;
    handler(submission, effect);
  };

  const send = (): void => {
    if (submissions.length >= MAXIMUM_SUBMISSIONS) return;
    // Each submission without an idempotency key is a separate request.
    const keyed = choose(8) !== 0;
    const skew = choose(MAXIMUM_CLOCK_SKEW_MILLISECONDS);
    const key = keyed ? CLAIM_KEY : { ...CLAIM_KEY, key: `generated-${submissions.length}` };
    const request = { key, keyed, digest: digestOf('body'), receivedAt: clock + skew };
    const submission: Submission = {
      session: createClaimSession(request),
      isEntryAlive: true,
      hasIdempotencyKey: keyed,
      clockSkewMilliseconds: skew,
      arrivedAtStep: step,
      callerAnswer: null,
    };
    submissions.push(submission);
    handleEvent(submission, { kind: 'begin' });
  };

  const takeMessage = (): (() => void) | undefined => {
    const message = pick(choose, network);
    network = network.filter((other) => other !== message);
    return message;
  };
  const deliver = (): void => {
    takeMessage()?.();
  };
  const complete = (): void => {
    agents.complete();
  };

  const actions: readonly (() => void)[] = [
    send,
    deliver,
    deliver,
    deliver,
    deliver,
    complete,
    complete,
    /* Advance the clock. */ () => {
      clock += choose(4) === 0 ? choose(4_000) : choose(100);
    },
    /* Duplicate a message. */ () => pick(choose, network)?.(),
    /* Lose a message. */ () => takeMessage(),
    /* Time out a wait; the reply may still arrive. */ () => {
      const pending = pick(
        choose,
        pendingReplies.filter(({ settled }) => !settled),
      );
      if (pending !== undefined) settleReply(pending, pending.onTimeout);
    },
    /* Reach the deadline of a submission. */ () => {
      const submission = pick(choose, submissions);
      if (submission !== undefined) handleEvent(submission, { kind: 'deadline' });
    },
    /* Crash an entry. */ () => {
      const submission = choose(3) === 0 ? pick(choose, submissions) : undefined;
      if (submission !== undefined) submission.isEntryAlive = false;
    },
    /* Restart an agent. */ () => {
      if (choose(3) === 0) agents.restart();
    },
  ];

  return {
    runs,
    submissions,
    act: () => {
      step += 1;
      actions[choose(actions.length)]?.();
    },
    settle: () => {
      for (let round = 0; round < 400 && network.length > 0; round += 1) {
        step += 1;
        network.shift()?.();
      }
    },
  };
}

/** Describes a guarantee that a run of the model violated; null if there is none. */
export function violatedGuarantee({ runs, submissions }: ClaimModel): string | null {
  const keyedRuns = runs.filter(({ hasIdempotencyKey }) => hasIdempotencyKey);
  if (keyedRuns.length > 1) return `the key ran ${keyedRuns.length} times`;
  for (const submission of submissions) {
    const ownRuns = runs.filter((run) => run === submission).length;
    if (ownRuns > 1) return `a request without a key ran ${ownRuns} times`;
    const { callerAnswer } = submission;
    if (callerAnswer?.answer.kind !== 'refused' || callerAnswer.answer.run !== 'not-run') continue;
    if (ownRuns > 0) return 'a request answered as not run did run';
    const earlier = keyedRuns.filter((run) => run.arrivedAtStep <= callerAnswer.atStep);
    if (submission.hasIdempotencyKey && earlier.length > 0)
      return 'a key answered as not run did run';
  }
  const replayed = submissions.flatMap(({ hasIdempotencyKey, callerAnswer }) =>
    hasIdempotencyKey && callerAnswer?.answer.kind === 'replayed'
      ? [callerAnswer.answer.answer.headers.attempt]
      : [],
  );
  return new Set(replayed).size > 1 ? 'two answers were replayed for one key' : null;
}
