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
  /** True when the caller gave the key, so that earlier sendings may exist. */
  readonly keyed: boolean;
  /** Null for a question after the outcome, which never runs anything. */
  readonly digest: string | null;
  readonly receivedAt: EpochMilliseconds;
}

/** Why the attempt of a session gave no whole answer. */
export interface ClaimAttemptFailure {
  readonly code: ResultCode;
  readonly detail: string;
  /** False when nothing of the request left this process, and nothing will. */
  readonly sent: boolean;
}

/** What happens to a session. */
export type ClaimEvent =
  | { readonly kind: 'begin' }
  /** An upstream for the next attempt, or none. */
  | { readonly kind: 'chosen'; readonly attempt: ClaimedAttempt | null }
  | { readonly kind: 'decided'; readonly result: LedgerResult }
  /** The ledger gave no answer; the command may still be carried out. */
  | { readonly kind: 'undecided' }
  | { readonly kind: 'answered'; readonly answer: StoredAnswer }
  | { readonly kind: 'failed'; readonly failure: ClaimAttemptFailure }
  | { readonly kind: 'fence-replied'; readonly reply: AttemptFenceReply }
  | { readonly kind: 'fence-failed' }
  | { readonly kind: 'waited' }
  | { readonly kind: 'deadline' };

/** What a caller is told. */
export type ClaimAnswer =
  /** The attempt's answer, which was passed on while it arrived. */
  | { readonly kind: 'relayed'; readonly answer: StoredAnswer }
  /** A stored answer. */
  | { readonly kind: 'replayed'; readonly answer: StoredAnswer }
  | {
      readonly kind: 'refused';
      readonly code: ResultCode;
      readonly run: RunState;
      readonly detail?: string;
    };

/** What a session asks its host to do. */
export type ClaimEffect =
  /** Choose an upstream; answered by `chosen`. */
  | { readonly kind: 'choose'; readonly excluded: readonly string[] }
  /** Propose a command; answered by `decided` or `undecided`. */
  | { readonly kind: 'propose'; readonly command: LedgerCommand }
  /** Propose a command until the ledger answers, for a bounded time; not answered. */
  | { readonly kind: 'follow'; readonly command: LedgerCommand }
  /** Run the attempt; answered by `answered` or `failed`. */
  | { readonly kind: 'run'; readonly attempt: ClaimedAttempt }
  /** Ask the agent to fence; answered by `fence-replied` or `fence-failed`. */
  | { readonly kind: 'fence'; readonly attempt: ClaimedAttempt }
  /** Let a time pass; answered by `waited`. */
  | { readonly kind: 'wait'; readonly milliseconds: number }
  /** Tell the caller; at most once a session. */
  | { readonly kind: 'answer'; readonly answer: ClaimAnswer };

/** Where a session stands. */
export type ClaimPhase =
  | { readonly kind: 'begun' }
  | { readonly kind: 'choosing' }
  | { readonly kind: 'claiming'; readonly attempt: ClaimedAttempt }
  | { readonly kind: 'running'; readonly attempt: ClaimedAttempt }
  | {
      readonly kind: 'fencing';
      readonly attempt: ClaimedAttempt;
      /** True for an attempt of this session, false for one of an earlier sending. */
      readonly own: boolean;
      readonly polls: number;
    }
  | { readonly kind: 'releasing'; readonly attempt: ClaimedAttempt; readonly own: boolean }
  | { readonly kind: 'declining'; readonly since: EpochMilliseconds }
  | { readonly kind: 'done' };

/** State of one non-repeatable request at one entry. */
export interface ClaimSession {
  readonly request: ClaimRequest;
  readonly phase: ClaimPhase;
  /** Agents at which an attempt was released. */
  readonly excluded: readonly string[];
  /** Claims that were released, own ones and those of earlier sendings. */
  readonly releases: number;
  readonly lastFailure: ClaimAttemptFailure | null;
  /** True once the caller was told something. */
  readonly told: boolean;
}

/** A session and what is to be done next. */
export interface ClaimStep {
  readonly session: ClaimSession;
  readonly effects: readonly ClaimEffect[];
}

/** A session before its first event, which is `begin`. */
export function createClaimSession(request: ClaimRequest): ClaimSession {
  return {
    request,
    phase: { kind: 'begun' },
    excluded: [],
    releases: 0,
    lastFailure: null,
    told: false,
  };
}
