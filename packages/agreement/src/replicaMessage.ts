import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { Member, MemberId } from './groupMembership.js';
import type { GroupSnapshot, LogEntry } from './logEntry.js';

/** Asks for a vote, or with `trial` whether a vote would be given. */
export interface VoteRequest {
  readonly kind: 'voteRequest';
  readonly trial: boolean;
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Answers a {@link VoteRequest}. */
export interface VoteReply {
  readonly kind: 'voteReply';
  readonly trial: boolean;
  /** Term that the request named when it is granted, else the replica's own. */
  readonly term: number;
  readonly granted: boolean;
}

/** Entries of the leader's log; without entries it is a heartbeat. */
export interface Append {
  readonly kind: 'append';
  readonly term: number;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  /** Counter of the leader's rounds of messages. */
  readonly round: number;
  /** Time of sending on the leader's clock. */
  readonly sentAt: Milliseconds;
}

/** The leader's whole state, for a member that lacks entries which the leader has dropped. */
export interface Install {
  readonly kind: 'install';
  readonly term: number;
  readonly snapshot: GroupSnapshot;
  readonly round: number;
  readonly sentAt: Milliseconds;
}

/** Answers {@link Append} and {@link Install}. */
export interface AppendReply {
  readonly kind: 'appendReply';
  readonly term: number;
  readonly accepted: boolean;
  /** Last index known to equal the leader's, or where the leader should try next. */
  readonly index: number;
  readonly round: number;
  readonly sentAt: Milliseconds;
}

/** Repeated by a replica that belongs to no group yet. */
export interface Join {
  readonly kind: 'join';
  readonly member: Member;
}

export type ReplicaMessageBody = VoteRequest | VoteReply | Append | Install | AppendReply | Join;

/** A message between two replicas of a group. */
export interface ReplicaMessage {
  /** Founding of the sender's group; `null` while the sender belongs to none. */
  readonly groupId: string | null;
  readonly from: MemberId;
  /** Receiver; a join is meant for whatever replica the slot holds and names none. */
  readonly to: MemberId | null;
  readonly body: ReplicaMessageBody;
}
