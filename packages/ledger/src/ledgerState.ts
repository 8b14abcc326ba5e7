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
import { claimKeyText, viewOf, type LedgerRecord } from './ledgerRecord.js';

/** The replicated claims and outcomes of one home data centre. */
export type LedgerState = ReplicatedState<LedgerCommand, LedgerResult, LedgerQuery, ClaimView>;

interface LedgerSnapshot {
  readonly clock: LedgerClock;
  /** Records in the order of their last change. */
  readonly records: readonly (readonly [string, LedgerRecord])[];
}

function keptBytes(record: LedgerRecord | undefined): number {
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
 * Deterministic: the time comes from the commands' stamps alone.
 *
 * @example
 * ```ts
 * const ledger = createLedgerState();
 * const result = ledger.apply(claimCommand, { index: 1, term: 1 });
 * if (result.kind === 'granted') sendAttempt();
 * ```
 */
export function createLedgerState(bounds: LedgerBounds = defaultLedgerBounds): LedgerState {
  /** In the order of their last change, the oldest first. */
  const records = new Map<string, LedgerRecord>();
  /** Bytes of kept bodies by key, the oldest first. */
  const bodies = new Map<string, number>();
  let totalBytes = 0;
  let clock = initialLedgerClock;

  const countBody = (text: string, bytes: number): void => {
    totalBytes += bytes - (bodies.get(text) ?? 0);
    bodies.delete(text);
    if (bytes > 0) bodies.set(text, bytes);
  };

  const store = (text: string, record: LedgerRecord): void => {
    records.delete(text);
    records.set(text, record);
    countBody(text, keptBytes(record));
  };

  const dropOldBodies = (): void => {
    for (const text of bodies.keys()) {
      if (totalBytes <= bounds.totalAnswerBytes) return;
      const record = records.get(text);
      if (record !== undefined) records.set(text, withoutBody(record));
      countBody(text, 0);
    }
  };

  const sweep = (): void => {
    let swept = 0;
    for (const [text, record] of records) {
      const isExpired = record.changedAt + bounds.retentionMilliseconds < clock.now;
      if (!isExpired || swept >= bounds.sweepsPerCommand) return;
      records.delete(text);
      countBody(text, 0);
      swept += 1;
    }
  };

  return {
    apply: (command) => {
      clock = advanceLedgerClock(clock, command.at);
      sweep();
      const text = claimKeyText(command.key);
      const decision = decideLedgerCommand(command, {
        record: records.get(text),
        now: clock.now,
        bounds,
        full: records.size >= bounds.keys,
      });
      if (decision.record !== undefined) store(text, decision.record);
      dropOldBodies();
      return decision.result;
    },
    query: ({ key }) => viewOf(records.get(claimKeyText(key))),
    snapshot: (): LedgerSnapshot => ({ clock, records: [...records] }),
    restore: (snapshot) => {
      const { clock: restoredClock, records: restored } = snapshot as LedgerSnapshot;
      clock = restoredClock;
      records.clear();
      bodies.clear();
      totalBytes = 0;
      for (const [text, record] of restored) store(text, record);
    },
  };
}
