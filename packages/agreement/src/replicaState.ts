import type { Outcome } from '@burdockrail/common/outcome.js';
import type { SeededRandom } from '@burdockrail/common/seededRandom.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { isVoter, slotOf, type Member, type MemberId, type Membership } from './groupMembership.js';
import type { QuorumView } from './quorumRule.js';
import type { ReplicaEffect, StoredRecord } from './replicaEffect.js';
import type { ReplicaLog } from './replicaLog.js';
import type { ReplicaMessage, ReplicaMessageBody, ReplyStamp } from './replicaMessage.js';
import type { ReplicaTiming } from './replicaTiming.js';
import type { ReplicatedState } from './replicatedState.js';

/** A replicated state with its types erased. */
export type AnyReplicatedState = ReplicatedState<unknown, unknown, unknown, unknown>;

/** Leader's view of the replication progress of a member. */
export interface MemberProgress {
  matchIndex: number;
  nextIndex: number;
  /** Send time, by the leader's clock, of the latest message that the member has acknowledged. */
  acknowledgedSentAt: Milliseconds;
  /** Stamp of the member's last reply. */
  lastReply: ReplyStamp | null;
  /** Latest round that the member has acknowledged. */
  acknowledgedRound: number;
  /** Send time of the last message to the member. */
  lastSentAt: Milliseconds;
  /** Send time of a snapshot that has not been acknowledged. */
  snapshotSentAt: Milliseconds | null;
  /** Time since which the leader expects replies from the member. */
  readonly trackedSince: Milliseconds;
}

/** Automatic membership changes of a group whose slots are not fixed in advance. */
export interface MembershipRepair {
  /** Time without a reply after which a voter may be removed, in milliseconds. */
  readonly voterTimeoutMilliseconds: number;
  /** Time without a reply after which a learner is removed; it includes that of a snapshot. */
  readonly learnerTimeoutMilliseconds: number;
}

/** The last leader that a replica followed, and when it last heard of it. */
export interface FollowedLeader {
  readonly id: MemberId;
  readonly heardAt: Milliseconds;
}

/** A replica that requested to join, and when the request came last. */
export interface ReceivedJoinRequest {
  readonly member: Member;
  readonly receivedAt: Milliseconds;
}

/** A query to be answered once a quorum has acknowledged a round and the index is applied. */
export interface PendingQuery {
  readonly requestId: number;
  readonly query: unknown;
  readonly round: number;
  readonly index: number;
}

/** Role of a replica in its current term. */
export type ReplicaRole =
  | { readonly kind: 'follower'; readonly leader: MemberId | null }
  | {
      readonly kind: 'candidate';
      readonly isPreVote: boolean;
      readonly grantedVotes: Set<MemberId>;
    }
  | {
      readonly kind: 'leader';
      readonly electedAt: Milliseconds;
      /** Index of the empty entry that the leader appended at the start of its term. */
      readonly termStartIndex: number;
      readonly progress: Map<MemberId, MemberProgress>;
      /** Request identifiers of pending proposals by log index. */
      readonly pendingProposals: Map<number, number>;
      pendingQueries: PendingQuery[];
      round: number;
      lastBroadcastAt: Milliseconds;
    };

export type LeaderRole = Extract<ReplicaRole, { readonly kind: 'leader' }>;

/** A membership and the index of the log entry or snapshot that contains it. */
export interface MembershipRecord {
  readonly index: number;
  readonly membership: Membership;
}

/** Complete mutable state of a replica, private to this package. */
export interface ReplicaCore {
  readonly self: Member;
  readonly state: AnyReplicatedState;
  readonly slots: readonly string[];
  /** `null` if only the listed slots may hold replicas. */
  readonly repair: MembershipRepair | null;
  readonly timing: ReplicaTiming;
  readonly random: SeededRandom;
  readonly log: ReplicaLog;
  /** Identifier of the group; `null` while the replica belongs to none. */
  groupId: string | null;
  term: number;
  votedFor: MemberId | null;
  commitIndex: number;
  appliedIndex: number;
  /** Index of the last snapshot passed to the host to be stored. */
  snapshotIndex: number;
  /** Last log index that this replica has persisted. */
  persistedIndex: number;
  /** In order of index, starting with the last committed membership. */
  memberships: readonly MembershipRecord[];
  role: ReplicaRole;
  electionDeadline: Milliseconds;
  /** Pre-votes that this replica has started since it last had a leader. */
  preVotesWithoutLeader: number;
  /** Time until which the replica does not vote for another leader. */
  votesRefusedUntil: Milliseconds;
  /** Distinguishes the runs of a replica, which may share an identifier but not a clock. */
  readonly run: number;
  /** Latest time such that all that had been committed by then is known to be applied here. */
  confirmedAt: Milliseconds;
  readonly superseded: Set<MemberId>;
  /** Members that announced their stop and have not been heard of since. */
  readonly resigned: Set<MemberId>;
  /** True once this replica has announced its own stop. */
  hasResigned: boolean;
  followedLeader: FollowedLeader | null;
  /** Latest incarnation of each slot that requested to join. */
  readonly joinRequests: Map<string, ReceivedJoinRequest>;
  nextJoinRequestAt: Milliseconds;
  issuedPersistSequence: number;
  completedPersistSequence: number;
  /** Persist effects that are not completed, with the last log index that each covers. */
  readonly pendingPersists: { sequence: number; lastIndex: number }[];
  /** Messages to be sent only after a persist effect has completed. */
  readonly deferredEffects: { readonly sequence: number; readonly effect: ReplicaEffect }[];
  effects: ReplicaEffect[];
}

/** Latest membership in the log, committed or not. */
export function currentMembership(core: ReplicaCore): Membership {
  return core.memberships.at(-1)?.membership ?? { voters: [], learners: [] };
}

/** Last membership that is known to be committed. */
export function committedMembership(core: ReplicaCore): Membership {
  const committed = core.memberships.filter((record) => record.index <= core.commitIndex);
  return committed.at(-1)?.membership ?? currentMembership(core);
}

function hasMemoryVoter(membership: Membership): boolean {
  return membership.voters.some((voter) => !voter.durable);
}

/**
 * Input of the quorum rule for the current membership.
 *
 * @remarks
 * A change starts only after the previous one is committed, so the last two memberships suffice. If
 * all voters are durable, every quorum is a majority, and majorities of memberships that differ by
 * one voter always intersect. In that case only the latest membership counts, so that losing another
 * voter does not block a membership change.
 */
export function quorumView(core: ReplicaCore): QuorumView {
  const [last, previous] = [core.memberships.at(-1), core.memberships.at(-2)];
  const isCommitted = last === undefined || last.index <= core.commitIndex;
  const latestMemberships = [last, previous].flatMap((record) => record?.membership ?? []);
  const memberships =
    isCommitted || !latestMemberships.some(hasMemoryVoter)
      ? latestMemberships.slice(0, 1)
      : latestMemberships;
  return { memberships, superseded: core.superseded };
}

/** Tells whether this replica is a voter of the current membership. */
export function isSelfVoter(core: ReplicaCore): boolean {
  return isVoter(currentMembership(core), core.self.id);
}

/** Issues a persist effect for the records. */
export function persist(core: ReplicaCore, records: readonly StoredRecord[]): void {
  core.issuedPersistSequence += 1;
  core.pendingPersists.push({
    sequence: core.issuedPersistSequence,
    lastIndex: core.log.last.index,
  });
  core.effects.push({ kind: 'persist', sequence: core.issuedPersistSequence, records });
}

/** Marks entries from an index on as not persisted, because they are replaced. */
export function invalidatePersistedFrom(core: ReplicaCore, index: number): void {
  core.persistedIndex = Math.min(core.persistedIndex, index - 1);
  for (const item of core.pendingPersists) item.lastIndex = Math.min(item.lastIndex, index - 1);
}

function sendEffect(core: ReplicaCore, to: MemberId, body: ReplicaMessageBody): ReplicaEffect {
  const message: ReplicaMessage = { groupId: core.groupId, from: core.self.id, to, body };
  return { kind: 'send', slot: slotOf(to), message };
}

/** Sends a message whose content does not depend on persisted state. */
export function sendImmediately(core: ReplicaCore, to: MemberId, body: ReplicaMessageBody): void {
  core.effects.push(sendEffect(core, to, body));
}

/** Sends a message after all persist effects issued so far have completed. */
export function sendAfterPersist(core: ReplicaCore, to: MemberId, body: ReplicaMessageBody): void {
  const effect = sendEffect(core, to, body);
  if (core.completedPersistSequence === core.issuedPersistSequence) core.effects.push(effect);
  else core.deferredEffects.push({ sequence: core.issuedPersistSequence, effect });
}

/** Answers a proposal or query. */
export function answer(core: ReplicaCore, requestId: number, outcome: Outcome<unknown>): void {
  core.effects.push({ kind: 'answer', requestId, outcome });
}

/** Completes all persist effects up to a sequence number and sends the messages that waited. */
export function onPersisted(core: ReplicaCore, sequence: number): void {
  core.completedPersistSequence = Math.max(core.completedPersistSequence, sequence);
  while (core.pendingPersists[0] !== undefined && core.pendingPersists[0].sequence <= sequence) {
    const stored = core.pendingPersists.shift();
    if (stored !== undefined) core.persistedIndex = Math.max(core.persistedIndex, stored.lastIndex);
  }
  while (core.deferredEffects[0] !== undefined && core.deferredEffects[0].sequence <= sequence) {
    const released = core.deferredEffects.shift();
    if (released !== undefined) core.effects.push(released.effect);
  }
}

/** Fraction of the election timeout after which a replica without leases tries to be elected. */
const EARLY_ELECTION_TIMEOUT_SHARE = 0.2;

/** Early tries after which a replica waits for the full election timeout again. */
const MAXIMUM_EARLY_ELECTIONS = 4;

/**
 * Sets an early random deadline for the next try, if lease reads are off.
 *
 * @remarks
 * After a power failure of all members there is no leader, and members that start together often
 * split their votes; waiting for the full election timeout each time would prolong the outage.
 * Members with contact to a leader refuse the pre-vote.
 */
export function setEarlyElectionDeadline(core: ReplicaCore, now: Milliseconds): void {
  const { usesLeaseReads, electionTimeoutMilliseconds } = core.timing;
  if (usesLeaseReads || core.preVotesWithoutLeader >= MAXIMUM_EARLY_ELECTIONS) {
    resetElectionDeadline(core, now);
    return;
  }
  const timeout = electionTimeoutMilliseconds * EARLY_ELECTION_TIMEOUT_SHARE;
  core.electionDeadline = now + timeout * (1 + core.random.next());
}

/** Sets a random deadline after which a replica without contact to a leader starts an election. */
export function resetElectionDeadline(core: ReplicaCore, now: Milliseconds): void {
  const { electionTimeoutMilliseconds } = core.timing;
  core.electionDeadline = now + electionTimeoutMilliseconds * (1 + core.random.next());
}

export function addMembership(core: ReplicaCore, record: MembershipRecord): void {
  core.memberships = [...core.memberships, record];
}

/** Removes the memberships of replaced entries, from an index on. */
export function dropMembershipsFrom(core: ReplicaCore, index: number): void {
  core.memberships = core.memberships.filter((record) => record.index < index);
}

/** Removes memberships older than the last committed one. */
export function pruneMemberships(core: ReplicaCore): void {
  const committed = core.memberships.filter((record) => record.index <= core.commitIndex);
  const oldest = committed.at(-1)?.index ?? 0;
  core.memberships = core.memberships.filter((record) => record.index >= oldest);
}
