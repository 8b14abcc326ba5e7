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
  type Choices,
  type Guard,
  type Reply,
} from './claimAgents.js';

/** Greatest difference between the clocks of two entries, in milliseconds. */
const SKEW_BOUND = 1_000;
const SENDINGS = 6;
const KEY = { team: 'desk', service: 'kasa', key: 'deposit-1' };

/** One sending of a request through one entry. */
export interface Sending {
  session: ClaimSession;
  alive: boolean;
  readonly keyed: boolean;
  readonly skew: number;
  readonly arrivedAtStep: number;
  told: { readonly answer: ClaimAnswer; readonly atStep: number } | null;
}

/** One run of the model: entries, a network that loses and doubles, agents and the ledger. */
export interface ClaimWorld {
  /** Sendings whose attempt the plain service ran, in order. */
  readonly runs: readonly Sending[];
  readonly sendings: readonly Sending[];
  /** Carries out one action that the choices pick. */
  act(): void;
  /** Lets everything that is still under way arrive. */
  settle(): void;
}

/** A wait of a sending for one reply; the first event settles it. */
interface Ticket {
  settled: boolean;
  readonly sending: Sending;
  readonly onTimeout: ClaimEvent;
}

type EffectHandlers = {
  readonly [Kind in ClaimEffect['kind']]: (
    sending: Sending,
    effect: Extract<ClaimEffect, { readonly kind: Kind }>,
  ) => void;
};

export function createClaimWorld(choose: Choices, missing?: Guard): ClaimWorld {
  const runs: Sending[] = [];
  const sendings: Sending[] = [];
  const tickets: Ticket[] = [];
  let network: (() => void)[] = [];
  let step = 0;
  let clock = 1_000_000;
  const agents = createClaimAgents(choose, missing);
  const ledger = createLedgerState({
    ...defaultLedgerBounds,
    ...(missing === 'decline-holds' ? { declineMarginMilliseconds: -Infinity } : {}),
  });

  const apply = (command: LedgerCommand): LedgerResult => {
    if (missing === 'ledger-grants-once' && command.kind === 'claim') return { kind: 'granted' };
    const view = ledger.query({ kind: 'view', key: command.key });
    const named =
      missing === 'release-names-attempt' && command.kind === 'release' && view.kind === 'open'
        ? { ...command, attemptId: view.attempt.attemptId }
        : command;
    return ledger.apply(named, { index: step, term: 1 });
  };

  const feed = (sending: Sending, event: ClaimEvent): void => {
    if (!sending.alive) return;
    const { session, effects } = stepClaimSession(sending.session, event, clock + sending.skew);
    sending.session = session;
    for (const effect of effects) carryOut(sending, effect);
  };

  const settleTicket = (ticket: Ticket, event: ClaimEvent): void => {
    if (ticket.settled) return;
    ticket.settled = true;
    feed(ticket.sending, event);
  };

  const ticketFor = (sending: Sending, onTimeout: ClaimEvent): Reply => {
    const ticket: Ticket = { settled: false, sending, onTimeout };
    tickets.push(ticket);
    return (event) => {
      network.push(() => {
        settleTicket(ticket, event);
      });
    };
  };

  const handlers: EffectHandlers = {
    choose: (sending, { excluded }) => {
      feed(sending, { kind: 'chosen', attempt: agents.choose(excluded) });
    },
    propose: (sending, { command }) => {
      const reply = ticketFor(sending, { kind: 'undecided' });
      network.push(() => {
        reply({ kind: 'decided', result: apply(command) });
      });
    },
    follow: (_sending, { command }) => {
      network.push(() => {
        apply(command);
      });
    },
    run: (sending, { attempt }) => {
      const isUnreachable = choose(8) === 0;
      if (isUnreachable) {
        feed(sending, failedEvent(false));
        return;
      }
      const reply = ticketFor(sending, failedEvent(true));
      network.push(() => {
        agents.run(attempt, reply, () => {
          runs.push(sending);
        });
      });
    },
    fence: (sending, { attempt }) => {
      const reply = ticketFor(sending, { kind: 'fence-failed' });
      network.push(() => {
        reply({ kind: 'fence-replied', reply: agents.fence(attempt) });
      });
    },
    wait: (sending) => {
      ticketFor(sending, { kind: 'waited' })({ kind: 'waited' });
    },
    answer: (sending, { answer }) => {
      sending.told = { answer, atStep: step };
    },
  };

  const carryOut = (sending: Sending, effect: ClaimEffect): void => {
    const handler = handlers[effect.kind] as (sending: Sending, effect: ClaimEffect) => void;
    handler(sending, effect);
  };

  const send = (): void => {
    if (sendings.length >= SENDINGS) return;
    // A few sendings come without a key; each of them is a request of its own.
    const keyed = choose(8) !== 0;
    const skew = choose(SKEW_BOUND);
    const key = keyed ? KEY : { ...KEY, key: `generated-${sendings.length}` };
    const request = { key, keyed, digest: digestOf('body'), receivedAt: clock + skew };
    const sending: Sending = {
      session: createClaimSession(request),
      alive: true,
      keyed,
      skew,
      arrivedAtStep: step,
      told: null,
    };
    sendings.push(sending);
    feed(sending, { kind: 'begin' });
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
    /* The clock goes on. */ () => {
      clock += choose(4) === 0 ? choose(4_000) : choose(100);
    },
    /* A message is doubled. */ () => pick(choose, network)?.(),
    /* A message is lost. */ () => takeMessage(),
    /* A sending waits no longer; what it waits for may still arrive. */ () => {
      const ticket = pick(
        choose,
        tickets.filter(({ settled }) => !settled),
      );
      if (ticket !== undefined) settleTicket(ticket, ticket.onTimeout);
    },
    /* A deadline passes. */ () => {
      const sending = pick(choose, sendings);
      if (sending !== undefined) feed(sending, { kind: 'deadline' });
    },
    /* An entry dies. */ () => {
      const sending = choose(3) === 0 ? pick(choose, sendings) : undefined;
      if (sending !== undefined) sending.alive = false;
    },
    /* An agent restarts. */ () => {
      if (choose(3) === 0) agents.restart();
    },
  ];

  return {
    runs,
    sendings,
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

/** What went wrong in a run of the model; null when every promise was kept. */
export function brokenPromise({ runs, sendings }: ClaimWorld): string | null {
  const keyedRuns = runs.filter(({ keyed }) => keyed);
  if (keyedRuns.length > 1) return `the key ran ${keyedRuns.length} times`;
  for (const sending of sendings) {
    const own = runs.filter((run) => run === sending).length;
    if (own > 1) return `a request without a key ran ${own} times`;
    const { told } = sending;
    if (told?.answer.kind !== 'refused' || told.answer.run !== 'not-run') continue;
    if (own > 0) return 'a request told as not run ran';
    const earlier = keyedRuns.filter((run) => run.arrivedAtStep <= told.atStep);
    if (sending.keyed && earlier.length > 0) return 'a key told as not run ran';
  }
  const replayed = sendings.flatMap(({ keyed, told }) =>
    keyed && told?.answer.kind === 'replayed' ? [told.answer.answer.headers.attempt] : [],
  );
  return new Set(replayed).size > 1 ? 'two answers were replayed for one key' : null;
}
