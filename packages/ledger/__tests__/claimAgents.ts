import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { AttemptFenceReply, StoredAnswer } from '@burdockrail/protocol/protocolAttempt.js';
import type { ClaimedAttempt } from '@burdockrail/protocol/protocolLedger.js';
import type { ClaimEvent } from '../src/claimSession.js';

/** Guards of the protocol that a run of the model can do without. */
export type Guard =
  | 'agent-keeps-fences'
  | 'agent-checks-incarnation'
  | 'agent-runs-attempt-once'
  | 'ledger-grants-once'
  | 'release-names-attempt'
  | 'decline-holds';

/** Takes one number after another, below a bound, from a list that a property chooses. */
export type Choices = (bound: number) => number;

/** One element, or undefined of an empty list. */
export function pick<Item>(choose: Choices, items: readonly Item[]): Item | undefined {
  return items.length === 0 ? undefined : items[choose(items.length)];
}

/** Sends an event back to the sending that runs an attempt. */
export type Reply = (event: ClaimEvent) => void;

/** Agents of the model, which keep the contract of `attempt.run` and `attempt.fence`. */
export interface ClaimAgents {
  /** A new attempt at any agent but the excluded ones; null when the choice falls on none. */
  choose(excluded: readonly string[]): ClaimedAttempt | null;
  run(attempt: ClaimedAttempt, reply: Reply, onStart: () => void): void;
  fence(attempt: ClaimedAttempt): AttemptFenceReply;
  /** Ends one attempt in progress, mostly with an answer. */
  complete(): void;
  /** Starts one agent anew, without memory. */
  restart(): void;
}

interface Agent {
  readonly incarnation: number;
  readonly attempts: Map<string, AttemptFenceReply['kind']>;
  /** Replies to runs in progress, by attempt. */
  readonly running: Map<string, Reply>;
}

const AGENTS = 2;

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

export function createClaimAgents(choices: Choices, missing?: Guard): ClaimAgents {
  const agents = Array.from({ length: AGENTS }, () => newAgent(1));
  let attempts = 0;

  const named = ({ agent, agentIncarnation }: ClaimedAttempt) => {
    const found = agents[Number(agent)];
    if (found === undefined) throw new Error('no such agent');
    return { found, isOther: String(found.incarnation) !== agentIncarnation };
  };

  const refuses = (attempt: ClaimedAttempt): boolean => {
    const { found, isOther } = named(attempt);
    if (isOther && missing !== 'agent-checks-incarnation') return true;
    const isFenced = found.attempts.get(attempt.attemptId) === 'fenced';
    return isFenced && missing !== 'agent-keeps-fences';
  };

  return {
    choose: (excluded) => {
      const number = choices(AGENTS + 1);
      const agent = agents[number];
      if (agent === undefined || excluded.includes(String(number))) return null;
      attempts += 1;
      return {
        attemptId: `attempt-${attempts}`,
        agent: String(number),
        agentIncarnation: String(agent.incarnation),
        address: { host: '127.0.0.1', port: number },
      };
    },
    run: (attempt, reply, onStart) => {
      if (refuses(attempt)) {
        reply(failedEvent(true));
        return;
      }
      const { found } = named(attempt);
      const known = found.attempts.get(attempt.attemptId);
      const isRepeat = known !== undefined && known !== 'fenced';
      if (isRepeat && missing !== 'agent-runs-attempt-once') return;
      onStart();
      found.attempts.set(attempt.attemptId, 'running');
      found.running.set(attempt.attemptId, reply);
    },
    fence: (attempt) => {
      const { found, isOther } = named(attempt);
      if (isOther) return { kind: 'other-incarnation' };
      const known = found.attempts.get(attempt.attemptId) ?? 'fenced';
      found.attempts.set(attempt.attemptId, known);
      if (known !== 'finished') return { kind: known };
      return { kind: 'finished', answer: answerOf(attempt.attemptId) };
    },
    complete: () => {
      const agent = pick(choices, agents);
      const running = pick(choices, [...(agent?.running ?? [])]);
      if (agent === undefined || running === undefined) return;
      const [attemptId, reply] = running;
      agent.running.delete(attemptId);
      const isLost = choices(6) === 0;
      agent.attempts.set(attemptId, isLost ? 'unknown' : 'finished');
      reply(isLost ? failedEvent(true) : { kind: 'answered', answer: answerOf(attemptId) });
    },
    restart: () => {
      const number = choices(AGENTS);
      agents[number] = newAgent((agents[number]?.incarnation ?? 0) + 1);
    },
  };
}
