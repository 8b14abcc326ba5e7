import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { Member, MemberId } from './groupMembership.js';
import type { GroupSnapshot, LogEntry } from './logEntry.js';

/** Requests a vote, or with `trial` a pre-vote: whether the receiver would grant a vote. */
export interface VoteRequest {
  readonly kind: 'voteRequest';
  readonly trial: boolean;
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Reply to a {@link VoteRequest}. */
export interface VoteReply {
  readonly kind: 'voteReply';
  readonly trial: boolean;
  /** Term of the request if granted, otherwise the replica's current term. */
  readonly term: number;
  readonly granted: boolean;
}

/** When a replica sent a reply, by its own clock; `run` tells its runs apart, each with a clock. */
export type ReplyStamp = readonly [run: number, at: Milliseconds];

/** What a leader's message tells of how up to date the leader was. */
export interface LeaderConfirmation {
  /** Time since a quorum last confirmed the leader; `null` if it can't know what is committed. */
  readonly confirmedAge: Milliseconds | null;
  /** Stamp of the receiver's last reply that the leader had read; `null` if there is none. */
  readonly lastReply: ReplyStamp | null;
}

/** Log entries from the leader; a heartbeat if there are none. */
export interface AppendEntries extends LeaderConfirmation {
  readonly kind: 'append';
  readonly term: number;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  /** Number of the leader's broadcast round. */
  readonly round: number;
  /** Send time by the leader's clock. */
  readonly sentAt: Milliseconds;
}

/** Snapshot of the leader's state, for a member whose next entries the leader has truncated. */
export interface InstallSnapshot extends LeaderConfirmation {
  readonly kind: 'install';
  readonly term: number;
  readonly snapshot: GroupSnapshot;
  readonly round: number;
  readonly sentAt: Milliseconds;
}

/** Reply to {@link AppendEntries} and {@link InstallSnapshot}. */
export interface AppendReply {
  readonly kind: 'appendReply';
  readonly term: number;
  readonly accepted: boolean;
  /** Last index that matches the leader's log; if rejected, the index to retry after. */
  readonly index: number;
  readonly round: number;
  /** Send time of the message replied to, by the leader's clock. */
  readonly sentAt: Milliseconds;
  readonly stamp: ReplyStamp;
}

/** Request to join a group, repeated until the replica is a member. */
export interface JoinRequest {
  readonly kind: 'join';
  readonly member: Member;
}

/** Announces that the sender stops and takes no further part in the group until it is started again. */
export interface Resignation {
  readonly kind: 'resign';
  /** Voter that should lead next; `null` unless the sender leads. */
  readonly successor: MemberId | null;
}

export type ReplicaMessageBody =
  | VoteRequest
  | VoteReply
  | AppendEntries
  | InstallSnapshot
  | AppendReply
  | JoinRequest
  | Resignation;

/** A message between two replicas of a group. */
export interface ReplicaMessage {
  /** Identifier of the sender's group; `null` while the sender belongs to none. */
  readonly groupId: string | null;
  readonly from: MemberId;
  /** Receiver; `null` for a join, which addresses whichever replica currently holds the slot. */
  readonly to: MemberId | null;
  readonly body: ReplicaMessageBody;
}
