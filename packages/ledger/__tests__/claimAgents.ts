import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { AttemptFenceReply, StoredAnswer } from '@burdockrail/protocol/protocolAttempt.js';
import type { ClaimedAttempt } from '@burdockrail/protocol/protocolLedger.js';
import type { ClaimEvent } from '../src/claimSession.js';

/** Guards of the protocol, each of which a run of the model can disable. */
export type Guard =
  | 'agent-keeps-fences'
  | 'agent-checks-incarnation'
  | 'agent-runs-attempt-once'
  | 'ledger-grants-once'
  | 'release-names-attempt'
  | 'decline-holds';

/** Returns the next generated number, reduced below a bound. */
export type ChooseNumber = (bound: number) => number;

/** Picks one element; undefined for an empty list. */
export function pick<Item>(choose: ChooseNumber, items: readonly Item[]): Item | undefined {
  return items.length === 0 ? undefined : items[choose(items.length)];
}

/** Sends an event back to the submission that runs an attempt. */
export type Reply = (event: ClaimEvent) => void;

/** Simulated agents that implement `attempt.run` and `attempt.fence`. */
export interface ClaimAgents {
  /** Creates an attempt at an agent that is not excluded, or returns null. */
  choose(excluded: readonly string[]): ClaimedAttempt | null;
  run(attempt: ClaimedAttempt, reply: Reply, onStart: () => void): void;
  fence(attempt: ClaimedAttempt): AttemptFenceReply;
  /** Ends one running attempt, in most cases with an answer. */
  complete(): void;
  /** Restarts one agent, which loses its state. */
  restart(): void;
}

interface Agent {
  readonly incarnation: number;
  readonly attempts: Map<string, AttemptFenceReply['kind']>;
  /** Reply callbacks of running attempts, by attempt identifier. */
  readonly running: Map<string, Reply>;
}

const AGENT_COUNT = 2;

export function failedEvent(sent: boolean): ClaimEvent {
  const failure = { code: ResultCode.UpstreamFailed, detail: 'model', sent };
  return { kind: 'failed', failure };
}

function answerOf(attemptId: string): StoredAnswer {
  return { status: 200, headers: { attempt: attemptId }, body: new Uint8Array([1]) };
}

function newAgent(incarnation: number): Agent {
  return { incarnation, attempts: new Map(), running: new Map() };
}

export function createClaimAgents(choose: ChooseNumber, disabledGuard?: Guard): ClaimAgents {
  const agents = Array.from({ length: AGENT_COUNT }, () => newAgent(1));
  let attemptCount = 0;

  const resolveAgent = ({ agent, agentIncarnation }: ClaimedAttempt) => {
    const target = agents[Number(agent)];
    if (target === undefined) throw new Error('no such agent');
    return { target, isOtherIncarnation: String(target.incarnation) !== agentIncarnation };
  };

  const refusesAttempt = (attempt: ClaimedAttempt): boolean => {
    const { target, isOtherIncarnation } = resolveAgent(attempt);
    if (isOtherIncarnation && disabledGuard !== 'agent-checks-incarnation') return true;
    const isFenced = target.attempts.get(attempt.attemptId) === 'fenced';
    return isFenced && disabledGuard !== 'agent-keeps-fences';
  };

  return {
    choose: (excluded) => {
      const number = choose(AGENT_COUNT + 1);
      const agent = agents[number];
      if (agent === undefined || excluded.includes(String(number))) return null;
      attemptCount += 1;
      return {
        attemptId: `attempt-${attemptCount}`,
        agent: String(number),
        agentIncarnation: String(agent.incarnation),
        address: { host: '127.0.0.1', port: number },
      };
    },
    run: (attempt, reply, onStart) => {
      if (refusesAttempt(attempt)) {
        reply(failedEvent(true));
        return;
      }
      const { target } = resolveAgent(attempt);
      const known = target.attempts.get(attempt.attemptId);
      const isRepeat = known !== undefined && known !== 'fenced';
      if (isRepeat && disabledGuard !== 'agent-runs-attempt-once') return;
      onStart();
      target.attempts.set(attempt.attemptId, 'running');
      target.running.set(attempt.attemptId, reply);
    },
    fence: (attempt) => {
      const { target, isOtherIncarnation } = resolveAgent(attempt);
      if (isOtherIncarnation) return { kind: 'other-incarnation' };
      const known = target.attempts.get(attempt.attemptId) ?? 'fenced';
      target.attempts.set(attempt.attemptId, known);
      if (known !== 'finished') return { kind: known };
      return { kind: 'finished', answer: answerOf(attempt.attemptId) };
    },
    complete: () => {
      const agent = pick(choose, agents);
      const running = pick(choose, [...(agent?.running ?? [])]);
      if (agent === undefined || running === undefined) return;
      const [attemptId, reply] = running;
      agent.running.delete(attemptId);
      const isLost = choose(6) === 0;
      agent.attempts.set(attemptId, isLost ? 'unknown' : 'finished');
      reply(isLost ? failedEvent(true) : { kind: 'answered', answer: answerOf(attemptId) });
    },
    restart: () => {
      const number = choose(AGENT_COUNT);
      agents[number] = newAgent((agents[number]?.incarnation ?? 0) + 1);
    },
  };
}
