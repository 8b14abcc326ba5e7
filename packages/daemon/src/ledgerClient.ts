import type {
  EpochMilliseconds,
  LedgerCommand,
  LedgerResult,
} from '@burdockrail/protocol/protocolLedger.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { toResultError } from '@burdockrail/common/outcome.js';
import type { EventLog } from '@burdockrail/telemetry/eventLog.js';
import { setTimeout } from 'node:timers/promises';
import { ledgerGroup, type GroupClient } from './groupClient.js';

/**
 * Timeout of one proposal, in milliseconds. A data centre that cannot reach a service's home must
 * refuse requests within half a second.
 */
const PROPOSE_TIMEOUT_MILLISECONDS = 350;

/** Delay before a command that must be applied eventually is proposed again, in milliseconds. */
const RETRY_INTERVAL_MILLISECONDS = 500;

/** Timeout of each proposal of a command that must be applied eventually, in milliseconds. */
const RETRIED_PROPOSE_TIMEOUT_MILLISECONDS = 2_000;

/**
 * Maximum number of proposals of a command that must be applied eventually; after the last one, the
 * claim is resolved by the caller's next request.
 */
const MAXIMUM_PROPOSALS = 60;

/** Proposes commands to the ledger of a service's home. Disposal stops all retries. */
export interface LedgerClient extends AsyncDisposable {
  /** Proposes a command once; resolves with null if the ledger does not answer in time. */
  propose(home: string, command: LedgerCommand): Promise<LedgerResult | null>;
  /** Proposes a command until the ledger answers, a bounded number of times. */
  proposeUntilAnswered(home: string, command: LedgerCommand): Promise<void>;
}

/** Wall clock for the timestamps of commands. */
export const wallClock = { now: (): EpochMilliseconds => Date.now() };

/** Creates a ledger client. */
export function createLedgerClient(groups: GroupClient, log: EventLog): LedgerClient {
  const propose = async (
    home: string,
    command: LedgerCommand,
    timeoutMilliseconds: number,
  ): Promise<LedgerResult | null> => {
    try {
      const result = await groups.propose(ledgerGroup(home), command, timeoutMilliseconds);
      return result as LedgerResult;
    } catch (error) {
      const { message, code } = toResultError(error, ResultCode.LedgerUnreachable);
      log.write('ledgerUnanswered', { home, command: command.kind, code, reason: message });
      return null;
    }
  };
  const disposal = new AbortController();
  const { signal } = disposal;
  return {
    propose: async (home, command) => propose(home, command, PROPOSE_TIMEOUT_MILLISECONDS),
    proposeUntilAnswered: async (home, command) => {
      for (let proposalCount = 0; proposalCount < MAXIMUM_PROPOSALS; proposalCount += 1) {
        if ((await propose(home, command, RETRIED_PROPOSE_TIMEOUT_MILLISECONDS)) !== null) return;
        if (signal.aborted) return;
        await setTimeout(RETRY_INTERVAL_MILLISECONDS, undefined, { signal });
      }
    },
    [Symbol.asyncDispose]: async () => {
      disposal.abort();
      return Promise.resolve();
    },
  };
}
