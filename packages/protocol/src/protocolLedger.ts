import type { Address } from './protocolAddress.js';
import type { StoredAnswer } from './protocolAttempt.js';

/** Milliseconds since 1970-01-01 UTC by the clock of the process that stamps a command. */
export type EpochMilliseconds = number;

/** Scope and name of a non-repeatable request. */
export interface ClaimKey {
  readonly team: string;
  readonly service: string;
  readonly key: string;
}

/** The one attempt that a claim allows. */
export interface ClaimedAttempt {
  readonly attemptId: string;
  readonly agent: string;
  /** Only this incarnation of the agent may start the attempt. */
  readonly agentIncarnation: string;
  readonly address: Address;
}

/** Asks for the right to send one attempt. */
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

/** Closes a key without a run for all sendings that have arrived so far. */
export interface DeclineCommand {
  readonly kind: 'decline';
  readonly key: ClaimKey;
  /** Null when the sender only asks for the outcome and has no body to compare. */
  readonly digest: string | null;
  readonly at: EpochMilliseconds;
}

/** Stores the answer of a claimed attempt. */
export interface RecordCommand {
  readonly kind: 'record';
  readonly key: ClaimKey;
  readonly attemptId: string;
  readonly answer: StoredAnswer;
  readonly at: EpochMilliseconds;
}

/** Frees a key whose attempt never started and never will. */
export interface ReleaseCommand {
  readonly kind: 'release';
  readonly key: ClaimKey;
  readonly attemptId: string;
  readonly at: EpochMilliseconds;
}

/** Gives up on the outcome of an attempt that may have run. */
export interface AbandonCommand {
  readonly kind: 'abandon';
  readonly key: ClaimKey;
  readonly attemptId: string;
  readonly at: EpochMilliseconds;
}

/** Commands of a ledger group. */
export type LedgerCommand =
  ClaimCommand | DeclineCommand | RecordCommand | ReleaseCommand | AbandonCommand;

/** What the ledger holds of a key. */
export type ClaimView =
  | { readonly kind: 'absent' }
  | { readonly kind: 'open'; readonly attempt: ClaimedAttempt }
  /** The answer's body is absent when it was not kept. */
  | { readonly kind: 'finished'; readonly answer: StoredAnswer }
  | { readonly kind: 'unknown' };

/** Result of a {@link LedgerCommand}; views are of the state after it. */
export type LedgerResult =
  | ClaimView
  | { readonly kind: 'granted' }
  /** The request arrived before its key was closed without a run; it did not run either. */
  | { readonly kind: 'declined' }
  | { readonly kind: 'body-differs' }
  /** The ledger holds as many keys as it may. */
  | { readonly kind: 'full' };

/** Asks what the ledger holds of a key. */
export interface LedgerQuery {
  readonly kind: 'view';
  readonly key: ClaimKey;
}
