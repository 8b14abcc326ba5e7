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
 * Bound on one command, in milliseconds. A data centre that is cut off from a service's home has
 * to refuse within half a second.
 */
const PROPOSE_TIMEOUT_MILLISECONDS = 350;

/** Time between two tries of a command that has to be carried out some time, in milliseconds. */
const FOLLOW_INTERVAL_MILLISECONDS = 500;

/** Bound on each of these tries, in milliseconds. */
const FOLLOW_TIMEOUT_MILLISECONDS = 2_000;

/** Tries of such a command; after them a later sending settles the claim. */
const FOLLOW_TRIES = 60;

/** Commands to the ledger of a service's home. Disposal ends all tries. */
export interface LedgerClient extends AsyncDisposable {
  /** Proposes a command once; null when the ledger gave no answer in time. */
  propose(home: string, command: LedgerCommand): Promise<LedgerResult | null>;
  /** Proposes a command until the ledger answers, for a bounded time. */
  follow(home: string, command: LedgerCommand): Promise<void>;
}

/** Wall clock with which commands are stamped. */
export const wallClock = { now: (): EpochMilliseconds => Date.now() };

/** Creates a client. */
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
  const stopped = new AbortController();
  const { signal } = stopped;
  return {
    propose: async (home, command) => propose(home, command, PROPOSE_TIMEOUT_MILLISECONDS),
    follow: async (home, command) => {
      for (let tries = 0; tries < FOLLOW_TRIES; tries += 1) {
        if ((await propose(home, command, FOLLOW_TIMEOUT_MILLISECONDS)) !== null) return;
        if (signal.aborted) return;
        await setTimeout(FOLLOW_INTERVAL_MILLISECONDS, undefined, { signal });
      }
    },
    [Symbol.asyncDispose]: async () => {
      stopped.abort();
      return Promise.resolve();
    },
  };
}
