import { ResultCode } from '@burdockrail/common/resultCode.js';
import { assertNever } from '@burdockrail/common/assertNever.js';
import { stepClaimSession } from '@burdockrail/ledger/claimMachine.js';
import {
  createClaimSession,
  type ClaimAnswer,
  type ClaimAttemptFailure,
  type ClaimEffect,
  type ClaimEvent,
  type ClaimRequest,
} from '@burdockrail/ledger/claimSession.js';
import type { StoredAnswer } from '@burdockrail/protocol/protocolAttempt.js';
import type { ClaimedAttempt } from '@burdockrail/protocol/protocolLedger.js';
import type { PeerClient } from '@burdockrail/transport/peerClient.js';
import type { BackgroundWork } from './entryBackground.js';
import { wallClock, type LedgerClient } from './ledgerClient.js';

/** Bound on a question to an agent, in milliseconds. */
const FENCE_TIMEOUT_MILLISECONDS = 500;

/** Result of running a claimed attempt. */
export type ClaimedRun =
  | { readonly kind: 'answered'; readonly answer: StoredAnswer }
  | { readonly kind: 'failed'; readonly failure: ClaimAttemptFailure };

/** What a session's host provides; a session that only asks for an outcome never runs anything. */
export interface ClaimSessionHost {
  readonly home: string;
  readonly ledger: LedgerClient;
  readonly client: PeerClient;
  readonly background: BackgroundWork;
  /** Time left until the caller is told in any case, in milliseconds. */
  readonly timeoutMilliseconds: number;
  choose(excluded: readonly string[]): ClaimedAttempt | null;
  run(attempt: ClaimedAttempt): Promise<ClaimedRun>;
}

/** Carries a non-repeatable request out; resolves with what the caller is told. */
export async function runClaimSession(
  host: ClaimSessionHost,
  request: ClaimRequest,
): Promise<ClaimAnswer> {
  return new Promise((resolve) => {
    let session = createClaimSession(request);

    const feed = (event: ClaimEvent): void => {
      const step = stepClaimSession(session, event, wallClock.now());
      session = step.session;
      if (session.phase.kind === 'done') clearTimeout(deadline);
      for (const effect of step.effects) host.background.add(carryOut(effect));
    };

    const carryOut = async (effect: ClaimEffect): Promise<void> => {
      switch (effect.kind) {
        case 'choose':
          feed({ kind: 'chosen', attempt: host.choose(effect.excluded) });
          return;
        case 'propose': {
          const result = await host.ledger.propose(host.home, effect.command);
          feed(result === null ? { kind: 'undecided' } : { kind: 'decided', result });
          return;
        }
        case 'follow':
          await host.ledger.follow(host.home, effect.command);
          return;
        case 'run':
          feed(await host.run(effect.attempt));
          return;
        case 'fence':
          feed(await fence(host.client, effect.attempt));
          return;
        case 'wait':
          await new Promise((wake) => setTimeout(wake, effect.milliseconds));
          feed({ kind: 'waited' });
          return;
        case 'answer':
          resolve(effect.answer);
          return;
        default:
          assertNever(effect);
      }
    };

    const deadline = setTimeout(() => {
      feed({ kind: 'deadline' });
    }, host.timeoutMilliseconds);
    feed({ kind: 'begin' });
  });
}

async function fence(client: PeerClient, attempt: ClaimedAttempt): Promise<ClaimEvent> {
  const { attemptId, agentIncarnation, address } = attempt;
  try {
    const reply = await client
      .connectionTo(address)
      .call(
        'attempt.fence',
        { attemptId, agentIncarnation },
        { timeoutMilliseconds: FENCE_TIMEOUT_MILLISECONDS },
      );
    return { kind: 'fence-replied', reply };
  } catch {
    return { kind: 'fence-failed' };
  }
}

/** A stored answer without a body: it ran, but the answer was not kept. */
export function isNotKept(answer: StoredAnswer): boolean {
  return answer.body === undefined;
}

/** Code that stands for a stored answer. */
export function storedCode(answer: StoredAnswer): ResultCode {
  return isNotKept(answer) ? ResultCode.ClaimOutcomeNotKept : ResultCode.Ok;
}
