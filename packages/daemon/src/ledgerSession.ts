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
import type { BackgroundTasks } from './entryBackground.js';
import { wallClock, type LedgerClient } from './ledgerClient.js';

/** Timeout of a fence request to an agent, in milliseconds. */
const FENCE_TIMEOUT_MILLISECONDS = 500;

/** Result of a claimed attempt. */
export type ClaimedAttemptResult =
  | { readonly kind: 'answered'; readonly answer: StoredAnswer }
  | { readonly kind: 'failed'; readonly failure: ClaimAttemptFailure };

/** Performs the effects of a claim session; a session for an outcome query never runs an attempt. */
export interface ClaimSessionHost {
  readonly home: string;
  readonly ledger: LedgerClient;
  readonly client: PeerClient;
  readonly backgroundTasks: BackgroundTasks;
  /** Time after which the caller is answered regardless of progress, in milliseconds. */
  readonly timeoutMilliseconds: number;
  choose(excluded: readonly string[]): ClaimedAttempt | null;
  run(attempt: ClaimedAttempt): Promise<ClaimedAttemptResult>;
}

/** Runs the claim session of a non-repeatable request; resolves with the answer to the caller. */
export async function runClaimSession(
  host: ClaimSessionHost,
  request: ClaimRequest,
): Promise<ClaimAnswer> {
  return new Promise((resolve) => {
    let session = createClaimSession(request);

    const dispatch = (event: ClaimEvent): void => {
      const step = stepClaimSession(session, event, wallClock.now());
      session = step.session;
      if (session.phase.kind === 'done') clearTimeout(deadline);
      for (const effect of step.effects) host.backgroundTasks.add(perform(effect));
    };

    const perform = async (effect: ClaimEffect): Promise<void> => {
      switch (effect.kind) {
        case 'choose':
          dispatch({ kind: 'chosen', attempt: host.choose(effect.excluded) });
          return;
        case 'propose': {
          const result = await host.ledger.propose(host.home, effect.command);
          dispatch(result === null ? { kind: 'undecided' } : { kind: 'decided', result });
          return;
        }
        case 'follow':
          await host.ledger.proposeUntilAnswered(host.home, effect.command);
          return;
        case 'run':
          dispatch(await host.run(effect.attempt));
          return;
        case 'fence':
          dispatch(await fenceAttempt(host.client, effect.attempt));
          return;
        case 'wait':
          await new Promise((wakeUp) => setTimeout(wakeUp, effect.milliseconds));
          dispatch({ kind: 'waited' });
          return;
        case 'answer':
          resolve(effect.answer);
          return;
        default:
          assertNever(effect);
      }
    };

    const deadline = setTimeout(() => {
      dispatch({ kind: 'deadline' });
    }, host.timeoutMilliseconds);
    dispatch({ kind: 'begin' });
  });
}

async function fenceAttempt(client: PeerClient, attempt: ClaimedAttempt): Promise<ClaimEvent> {
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

/** Returns whether a stored answer lacks its body: the request ran, but its answer was not kept. */
export function isBodyMissing(answer: StoredAnswer): boolean {
  return answer.body === undefined;
}

/** Returns the result code of a stored answer. */
export function resultCodeOf(answer: StoredAnswer): ResultCode {
  return isBodyMissing(answer) ? ResultCode.ClaimOutcomeNotKept : ResultCode.Ok;
}
