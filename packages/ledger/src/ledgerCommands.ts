import type {
  AbandonCommand,
  ClaimCommand,
  DeclineCommand,
  EpochMilliseconds,
  LedgerCommand,
  LedgerResult,
  RecordCommand,
  ReleaseCommand,
} from '@burdockrail/protocol/protocolLedger.js';
import type { StoredAnswer } from '@burdockrail/protocol/protocolAttempt.js';
import type { LedgerBounds } from './ledgerBounds.js';
import { viewOf, type LedgerRecord } from './ledgerRecord.js';

/** What a command decides on. */
export interface LedgerCase {
  readonly record: LedgerRecord | undefined;
  readonly now: EpochMilliseconds;
  readonly bounds: LedgerBounds;
  /** True when no further key may be taken in. */
  readonly full: boolean;
}

/** Result of a command, and the new record if it changes. */
export interface LedgerDecision {
  readonly result: LedgerResult;
  readonly record?: LedgerRecord;
}

/** Released attempts remembered of one key. */
const RELEASED_REMEMBERED = 8;

/** Refusals that a claim and a decline have in common; null when there is none. */
function refusal(
  command: ClaimCommand | DeclineCommand,
  { record, full }: LedgerCase,
): LedgerResult | null {
  if (record === undefined) return full ? { kind: 'full' } : null;
  const differs = command.digest !== null && record.digest !== command.digest;
  if (differs) return { kind: 'body-differs' };
  return record.state.kind === 'free' ? null : viewOf(record);
}

/** True when the request arrived, by any clock, before its key was closed. */
function isDeclined(command: ClaimCommand, { record, bounds }: LedgerCase): boolean {
  if (record === undefined || record.declinedAt === 0) return false;
  return command.receivedAt <= record.declinedAt + bounds.declineMarginMilliseconds;
}

function claim(command: ClaimCommand, present: LedgerCase): LedgerDecision {
  const { record, now } = present;
  const { attempt } = command;
  if (record?.state.kind === 'open' && record.state.attempt.attemptId === attempt.attemptId) {
    return { result: { kind: 'granted' } };
  }
  const refused = refusal(command, present);
  if (refused !== null) return { result: refused };
  if (record?.released.includes(attempt.attemptId) === true || isDeclined(command, present)) {
    return { result: { kind: 'declined' } };
  }
  return {
    result: { kind: 'granted' },
    record: {
      digest: command.digest,
      state: { kind: 'open', attempt },
      released: record?.released ?? [],
      declinedAt: record?.declinedAt ?? 0,
      changedAt: now,
    },
  };
}

function decline(command: DeclineCommand, present: LedgerCase): LedgerDecision {
  const refused = refusal(command, present);
  if (refused !== null) return { result: refused };
  const digest = present.record?.digest ?? command.digest;
  if (digest === null) return { result: { kind: 'absent' } };
  return {
    result: { kind: 'declined' },
    record: {
      digest,
      state: { kind: 'free' },
      released: present.record?.released ?? [],
      declinedAt: Math.max(present.record?.declinedAt ?? 0, command.at),
      changedAt: present.now,
    },
  };
}

function withinBounds(answer: StoredAnswer, { answerBytes }: LedgerBounds): StoredAnswer {
  if (answer.body === undefined || answer.body.length <= answerBytes) return answer;
  return { status: answer.status, headers: answer.headers };
}

/** True when the record waits for, or has given up on, the outcome of this attempt. */
function awaits(record: LedgerRecord, attemptId: string): boolean {
  const { state } = record;
  if (state.kind === 'open') return state.attempt.attemptId === attemptId;
  return state.kind === 'unknown' && state.attemptId === attemptId;
}

function recordAnswer(command: RecordCommand, present: LedgerCase): LedgerDecision {
  const { record, now, bounds } = present;
  if (record === undefined || !awaits(record, command.attemptId)) {
    return { result: viewOf(record) };
  }
  const answer = withinBounds(command.answer, bounds);
  const state = { kind: 'finished', attemptId: command.attemptId, answer } as const;
  const changed = { ...record, state, changedAt: now };
  return { result: viewOf(changed), record: changed };
}

function release(command: ReleaseCommand, { record, now }: LedgerCase): LedgerDecision {
  if (record?.state.kind !== 'open' || record.state.attempt.attemptId !== command.attemptId) {
    return { result: viewOf(record) };
  }
  const released = [...record.released, command.attemptId].slice(-RELEASED_REMEMBERED);
  const changed = { ...record, state: { kind: 'free' }, released, changedAt: now } as const;
  return { result: viewOf(changed), record: changed };
}

function abandon(command: AbandonCommand, { record, now }: LedgerCase): LedgerDecision {
  if (record?.state.kind !== 'open' || record.state.attempt.attemptId !== command.attemptId) {
    return { result: viewOf(record) };
  }
  const state = { kind: 'unknown', attemptId: command.attemptId } as const;
  const changed = { ...record, state, changedAt: now };
  return { result: viewOf(changed), record: changed };
}

/** Decisions on commands by kind. */
const deciders: {
  readonly [Kind in LedgerCommand['kind']]: (
    command: Extract<LedgerCommand, { readonly kind: Kind }>,
    present: LedgerCase,
  ) => LedgerDecision;
} = { claim, decline, record: recordAnswer, release, abandon };

/** Decides on one command. */
export function decideLedgerCommand(command: LedgerCommand, present: LedgerCase): LedgerDecision {
  const decider = deciders[command.kind] as (
    command: LedgerCommand,
    present: LedgerCase,
  ) => LedgerDecision;
  return decider(command, present);
}
