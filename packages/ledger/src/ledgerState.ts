import type { ReplicatedState } from '@burdockrail/agreement/replicatedState.js';
import type {
  ClaimView,
  LedgerCommand,
  LedgerQuery,
  LedgerResult,
} from '@burdockrail/protocol/protocolLedger.js';
import { defaultLedgerBounds, type LedgerBounds } from './ledgerBounds.js';
import { advanceLedgerClock, initialLedgerClock, type LedgerClock } from './ledgerClock.js';
import { decideLedgerCommand } from './ledgerCommands.js';
import { claimKeyText, claimViewOf, type LedgerRecord } from './ledgerRecord.js';

/** Replicated claims and outcomes of one home data centre. */
export type LedgerState = ReplicatedState<LedgerCommand, LedgerResult, LedgerQuery, ClaimView>;

interface LedgerSnapshot {
  readonly clock: LedgerClock;
  /** Ordered by last change, oldest first. */
  readonly records: readonly (readonly [string, LedgerRecord])[];
}

function bodyBytesOf(record: LedgerRecord | undefined): number {
  return record?.state.kind === 'finished' ? (record.state.answer.body?.length ?? 0) : 0;
}

function withoutBody(record: LedgerRecord): LedgerRecord {
  if (record.state.kind !== 'finished') return record;
  const { status, headers } = record.state.answer;
  return { ...record, state: { ...record.state, answer: { status, headers } } };
}

/**
 * Creates an empty ledger.
 *
 * @remarks
 * Deterministic: time is derived only from the stamps of the commands.
 *
 * @example
 * ```ts
 * const ledger = createLedgerState();
 * const result = ledger.apply(claimCommand, { index: 1, term: 1 });
 * if (result.kind === 'granted') sendAttempt();
 * ```
 */
export function createLedgerState(bounds: LedgerBounds = defaultLedgerBounds): LedgerState {
  /** Ordered by last change, oldest first. */
  const records = new Map<string, LedgerRecord>();
  /** Size of the kept body by key, oldest first. */
  const bodyBytesByKey = new Map<string, number>();
  let totalBodyBytes = 0;
  let clock = initialLedgerClock;

  const setBodyBytes = (keyText: string, bytes: number): void => {
    totalBodyBytes += bytes - (bodyBytesByKey.get(keyText) ?? 0);
    bodyBytesByKey.delete(keyText);
    if (bytes > 0) bodyBytesByKey.set(keyText, bytes);
  };

  const store = (keyText: string, record: LedgerRecord): void => {
    records.delete(keyText);
    records.set(keyText, record);
    setBodyBytes(keyText, bodyBytesOf(record));
  };

  const evictOldestBodies = (): void => {
    for (const keyText of bodyBytesByKey.keys()) {
      if (totalBodyBytes <= bounds.maximumTotalAnswerBytes) return;
      const record = records.get(keyText);
      if (record !== undefined) records.set(keyText, withoutBody(record));
      setBodyBytes(keyText, 0);
    }
  };

  const removeExpiredRecords = (): void => {
    let removedCount = 0;
    for (const [keyText, record] of records) {
      const isExpired = record.changedAt + bounds.retentionMilliseconds < clock.now;
      if (!isExpired || removedCount >= bounds.maximumExpirationsPerCommand) return;
      records.delete(keyText);
      setBodyBytes(keyText, 0);
      removedCount += 1;
    }
  };

  return {
    apply: (command) => {
      clock = advanceLedgerClock(clock, command.at);
      removeExpiredRecords();
      const keyText = claimKeyText(command.key);
      const decision = decideLedgerCommand(command, {
        record: records.get(keyText),
        now: clock.now,
        bounds,
        isFull: records.size >= bounds.maximumKeys,
      });
      if (decision.record !== undefined) store(keyText, decision.record);
      evictOldestBodies();
      return decision.result;
    },
    query: ({ key }) => claimViewOf(records.get(claimKeyText(key))),
    snapshot: (): LedgerSnapshot => ({ clock, records: [...records] }),
    restore: (snapshot) => {
      const { clock: restoredClock, records: restoredRecords } = snapshot as LedgerSnapshot;
      clock = restoredClock;
      records.clear();
      bodyBytesByKey.clear();
      totalBodyBytes = 0;
      for (const [keyText, record] of restoredRecords) store(keyText, record);
    },
  };
}
