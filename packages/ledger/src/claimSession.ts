import type { ResultCode, RunState } from '@burdockrail/common/resultCode.js';
import type { AttemptFenceReply, StoredAnswer } from '@burdockrail/protocol/protocolAttempt.js';
import type {
  ClaimedAttempt,
  ClaimKey,
  EpochMilliseconds,
  LedgerCommand,
  LedgerResult,
} from '@burdockrail/protocol/protocolLedger.js';

/** A non-repeatable request as a claim session sees it. */
export interface ClaimRequest {
  readonly key: ClaimKey;
  /** True if the caller supplied the idempotency key, so that earlier requests may share it. */
  readonly keyed: boolean;
  /** Digest of method, path and body; null for an outcome query, which never runs an attempt. */
  readonly digest: string | null;
  readonly receivedAt: EpochMilliseconds;
}

/** Why an attempt gave no complete answer. */
export interface ClaimAttemptFailure {
  readonly code: ResultCode;
  readonly detail: string;
  /** False if no part of the request was or will be sent. */
  readonly sent: boolean;
}

/** Input event of a session. */
export type ClaimEvent =
  | { readonly kind: 'begin' }
  /** Next attempt at an upstream; null if no upstream is available. */
  | { readonly kind: 'chosen'; readonly attempt: ClaimedAttempt | null }
  | { readonly kind: 'decided'; readonly result: LedgerResult }
  /** The ledger did not reply; the command may still be applied. */
  | { readonly kind: 'undecided' }
  | { readonly kind: 'answered'; readonly answer: StoredAnswer }
  | { readonly kind: 'failed'; readonly failure: ClaimAttemptFailure }
  | { readonly kind: 'fence-replied'; readonly reply: AttemptFenceReply }
  | { readonly kind: 'fence-failed' }
  | { readonly kind: 'waited' }
  | { readonly kind: 'deadline' };

/** Answer to the caller. */
export type ClaimAnswer =
  /** The attempt's answer, which was streamed to the caller as it arrived. */
  | { readonly kind: 'relayed'; readonly answer: StoredAnswer }
  /** A stored answer. */
  | { readonly kind: 'replayed'; readonly answer: StoredAnswer }
  | {
      readonly kind: 'refused';
      readonly code: ResultCode;
      readonly run: RunState;
      readonly detail?: string;
    };

/** Action that the host of a session performs; "followed by" names the events with its result. */
export type ClaimEffect =
  /** Choose an upstream; followed by `chosen`. */
  | { readonly kind: 'choose'; readonly excluded: readonly string[] }
  /** Propose a command; followed by `decided` or `undecided`. */
  | { readonly kind: 'propose'; readonly command: LedgerCommand }
  /** Propose a command, retrying for a bounded time until the ledger replies; no event follows. */
  | { readonly kind: 'follow'; readonly command: LedgerCommand }
  /** Run the attempt; followed by `answered` or `failed`. */
  | { readonly kind: 'run'; readonly attempt: ClaimedAttempt }
  /** Ask the agent to fence the attempt; followed by `fence-replied` or `fence-failed`. */
  | { readonly kind: 'fence'; readonly attempt: ClaimedAttempt }
  /** Wait; followed by `waited`. */
  | { readonly kind: 'wait'; readonly milliseconds: number }
  /** Answer the caller; at most once per session. */
  | { readonly kind: 'answer'; readonly answer: ClaimAnswer };

/** Phase of a session. */
export type ClaimPhase =
  | { readonly kind: 'begun' }
  | { readonly kind: 'choosing' }
  | { readonly kind: 'claiming'; readonly attempt: ClaimedAttempt }
  | { readonly kind: 'running'; readonly attempt: ClaimedAttempt }
  | {
      readonly kind: 'fencing';
      readonly attempt: ClaimedAttempt;
      /** True for an attempt of this session, false for one of another request with the key. */
      readonly isOwn: boolean;
      readonly pollCount: number;
    }
  | { readonly kind: 'releasing'; readonly attempt: ClaimedAttempt; readonly isOwn: boolean }
  | { readonly kind: 'declining'; readonly proposedAt: EpochMilliseconds }
  | { readonly kind: 'done' };

/** State of a non-repeatable request at one entry. */
export interface ClaimSession {
  readonly request: ClaimRequest;
  readonly phase: ClaimPhase;
  /** Agents at which one of this session's attempts was released. */
  readonly excludedAgents: readonly string[];
  /** Number of claims released, including those of other requests with the key. */
  readonly releaseCount: number;
  readonly lastFailure: ClaimAttemptFailure | null;
  readonly isCallerAnswered: boolean;
}

/** Next state of a session and the effects to perform. */
export interface ClaimStep {
  readonly session: ClaimSession;
  readonly effects: readonly ClaimEffect[];
}

/** A session before its first event, which is `begin`. */
export function createClaimSession(request: ClaimRequest): ClaimSession {
  return {
    request,
    phase: { kind: 'begun' },
    excludedAgents: [],
    releaseCount: 0,
    lastFailure: null,
    isCallerAnswered: false,
  };
}
