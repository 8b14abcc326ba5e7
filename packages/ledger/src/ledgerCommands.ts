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
import { claimViewOf, type LedgerRecord } from './ledgerRecord.js';

/** Input of a decision, besides the command. */
export interface LedgerDecisionContext {
  readonly record: LedgerRecord | undefined;
  readonly now: EpochMilliseconds;
  readonly bounds: LedgerBounds;
  /** True if no further key may be added. */
  readonly isFull: boolean;
}

/** Result of a command, and the new record if the command changes it. */
export interface LedgerDecision {
  readonly result: LedgerResult;
  readonly record?: LedgerRecord;
}

/** Number of released attempts kept per key. */
const MAXIMUM_RELEASED_ATTEMPTS = 8;

/** Refusal that applies to claims and declines alike; null if there is none. */
function commonRefusal(
  command: ClaimCommand | DeclineCommand,
  { record, isFull }: LedgerDecisionContext,
): LedgerResult | null {
  if (record === undefined) return isFull ? { kind: 'full' } : null;
  const differs = command.digest !== null && record.digest !== command.digest;
  if (differs) return { kind: 'body-differs' };
  return record.state.kind === 'free' ? null : claimViewOf(record);
}

/** True if the request may have arrived before its key was declined, allowing for clock skew. */
function arrivedBeforeDecline(
  command: ClaimCommand,
  { record, bounds }: LedgerDecisionContext,
): boolean {
  if (record === undefined || record.declinedAt === 0) return false;
  return command.receivedAt <= record.declinedAt + bounds.declineMarginMilliseconds;
}

function claim(command: ClaimCommand, context: LedgerDecisionContext): LedgerDecision {
  const { record, now } = context;
  const { attempt } = command;
  if (record?.state.kind === 'open' && record.state.attempt.attemptId === attempt.attemptId) {
    return { result: { kind: 'granted' } };
  }
  const refusal = commonRefusal(command, context);
  if (refusal !== null) return { result: refusal };
  if (
    record?.released.includes(attempt.attemptId) === true ||
    arrivedBeforeDecline(command, context)
  ) {
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

function decline(command: DeclineCommand, context: LedgerDecisionContext): LedgerDecision {
  const refusal = commonRefusal(command, context);
  if (refusal !== null) return { result: refusal };
  const digest = context.record?.digest ?? command.digest;
  if (digest === null) return { result: { kind: 'absent' } };
  return {
    result: { kind: 'declined' },
    record: {
      digest,
      state: { kind: 'free' },
      released: context.record?.released ?? [],
      declinedAt: Math.max(context.record?.declinedAt ?? 0, command.at),
      changedAt: context.now,
    },
  };
}

function dropOversizedBody(
  answer: StoredAnswer,
  { maximumAnswerBytes }: LedgerBounds,
): StoredAnswer {
  if (answer.body === undefined || answer.body.length <= maximumAnswerBytes) return answer;
  return { status: answer.status, headers: answer.headers };
}

/** True if the record is open or abandoned for this attempt, so that its answer can be recorded. */
function awaitsOutcome(record: LedgerRecord, attemptId: string): boolean {
  const { state } = record;
  if (state.kind === 'open') return state.attempt.attemptId === attemptId;
  return state.kind === 'unknown' && state.attemptId === attemptId;
}

function recordAnswer(command: RecordCommand, context: LedgerDecisionContext): LedgerDecision {
  const { record, now, bounds } = context;
  if (record === undefined || !awaitsOutcome(record, command.attemptId)) {
    return { result: claimViewOf(record) };
  }
  const answer = dropOversizedBody(command.answer, bounds);
  const state = { kind: 'finished', attemptId: command.attemptId, answer } as const;
  const changed = { ...record, state, changedAt: now };
  return { result: claimViewOf(changed), record: changed };
}

function release(command: ReleaseCommand, { record, now }: LedgerDecisionContext): LedgerDecision {
  if (record?.state.kind !== 'open' || record.state.attempt.attemptId !== command.attemptId) {
    return { result: claimViewOf(record) };
  }
  const released = [...record.released, command.attemptId].slice(-MAXIMUM_RELEASED_ATTEMPTS);
  const changed = { ...record, state: { kind: 'free' }, released, changedAt: now } as const;
  return { result: claimViewOf(changed), record: changed };
}

function abandon(command: AbandonCommand, { record, now }: LedgerDecisionContext): LedgerDecision {
  if (record?.state.kind !== 'open' || record.state.attempt.attemptId !== command.attemptId) {
    return { result: claimViewOf(record) };
  }
  const state = { kind: 'unknown', attemptId: command.attemptId } as const;
  const changed = { ...record, state, changedAt: now };
  return { result: claimViewOf(changed), record: changed };
}

const deciders: {
  readonly [Kind in LedgerCommand['kind']]: (
    command: Extract<LedgerCommand, { readonly kind: Kind }>,
    context: LedgerDecisionContext,
  ) => LedgerDecision;
} = { claim, decline, record: recordAnswer, release, abandon };

/** Decides the result of one command. */
export function decideLedgerCommand(
  command: LedgerCommand,
  context: LedgerDecisionContext,
): LedgerDecision {
  const decider = deciders[command.kind] as (
    command: LedgerCommand,
    context: LedgerDecisionContext,
  ) => LedgerDecision;
  return decider(command, context);
}
