import type { Address } from './protocolAddress.js';
import type { StoredAnswer } from './protocolAttempt.js';

/** Unix time in milliseconds, by the clock of the process that timestamps a command. */
export type EpochMilliseconds = number;

/** Idempotency key of a non-repeatable request, with its scope. */
export interface ClaimKey {
  readonly team: string;
  readonly service: string;
  readonly key: string;
}

/** The only attempt that a claim permits. */
export interface ClaimedAttempt {
  readonly attemptId: string;
  readonly agent: string;
  /** Only this incarnation of the agent may start the attempt. */
  readonly agentIncarnation: string;
  readonly address: Address;
}

/** Claims a key, to get permission to send one attempt. */
export interface ClaimCommand {
  readonly kind: 'claim';
  readonly key: ClaimKey;
  /** Digest of the request's method, path and body. */
  readonly digest: string;
  readonly attempt: ClaimedAttempt;
  /** When the request arrived at its entry. */
  readonly receivedAt: EpochMilliseconds;
  readonly at: EpochMilliseconds;
}

/** Closes a key without a run, for all submissions of the request received so far. */
export interface DeclineCommand {
  readonly kind: 'decline';
  readonly key: ClaimKey;
  /** `null` if the sender only asks for the outcome and has no body to compare. */
  readonly digest: string | null;
  readonly at: EpochMilliseconds;
}

/** Stores the answer to a claimed attempt. */
export interface RecordCommand {
  readonly kind: 'record';
  readonly key: ClaimKey;
  readonly attemptId: string;
  readonly answer: StoredAnswer;
  readonly at: EpochMilliseconds;
}

/** Releases a key whose attempt did not start and can no longer start. */
export interface ReleaseCommand {
  readonly kind: 'release';
  readonly key: ClaimKey;
  readonly attemptId: string;
  readonly at: EpochMilliseconds;
}

/** Marks the outcome of an attempt that may have run as unknown. */
export interface AbandonCommand {
  readonly kind: 'abandon';
  readonly key: ClaimKey;
  readonly attemptId: string;
  readonly at: EpochMilliseconds;
}

/** Commands of a ledger group. */
export type LedgerCommand =
  ClaimCommand | DeclineCommand | RecordCommand | ReleaseCommand | AbandonCommand;

/** State of a key in the ledger. */
export type ClaimView =
  | { readonly kind: 'absent' }
  | { readonly kind: 'open'; readonly attempt: ClaimedAttempt }
  /** The answer's body is absent if it was too large to store. */
  | { readonly kind: 'finished'; readonly answer: StoredAnswer }
  | { readonly kind: 'unknown' };

/** Result of a {@link LedgerCommand}; a {@link ClaimView} is the state after the command. */
export type LedgerResult =
  | ClaimView
  | { readonly kind: 'granted' }
  /** The request arrived before its key was closed without a run; it did not run. */
  | { readonly kind: 'declined' }
  | { readonly kind: 'body-differs' }
  /** The ledger has reached its limit of keys. */
  | { readonly kind: 'full' };

/** Reads the state of a key. */
export interface LedgerQuery {
  readonly kind: 'view';
  readonly key: ClaimKey;
}
