import type { Outcome } from '@burdockrail/common/outcome.js';
import type { SeededRandom } from '@burdockrail/common/seededRandom.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { isVoter, slotOf, type Member, type MemberId, type Membership } from './groupMembership.js';
import type { QuorumView } from './quorumRule.js';
import type { ReplicaEffect, StoredRecord } from './replicaEffect.js';
import type { ReplicaLog } from './replicaLog.js';
import type { ReplicaMessage, ReplicaMessageBody } from './replicaMessage.js';
import type { ReplicaTiming } from './replicaTiming.js';
import type { ReplicatedState } from './replicatedState.js';

/** A replicated state whose types the replica does not need to know. */
export type AnyReplicatedState = ReplicatedState<unknown, unknown, unknown, unknown>;

/** What a leader knows of another member. */
export interface MemberProgress {
  matchIndex: number;
  nextIndex: number;
  /** Time at which the leader sent the last message that the member answered. */
  answeredSentAt: Milliseconds;
  /** Round of the last message that the member answered. */
  answeredRound: number;
  /** Time of the last message to the member. */
  lastSentAt: Milliseconds;
  /** Time at which a snapshot was sent that is not answered yet. */
  snapshotSentAt: Milliseconds | null;
  /** Time from which the leader has counted on answers of the member. */
  readonly since: Milliseconds;
}

/** How a group whose slots are not fixed in advance changes its members by itself. */
export interface SelfRepair {
  /** Silence after which a member may lose its place, in milliseconds. */
  readonly silenceMilliseconds: number;
}

/** A query that waits until a quorum has answered a round. */
export interface WaitingQuery {
  readonly requestId: number;
  readonly query: unknown;
  readonly round: number;
  readonly index: number;
}

/** Part that a replica plays in its present term. */
export type ReplicaRole =
  | { readonly kind: 'follower'; readonly leader: MemberId | null }
  | { readonly kind: 'candidate'; readonly trial: boolean; readonly grants: Set<MemberId> }
  | {
      readonly kind: 'leader';
      readonly since: Milliseconds;
      /** Index of the entry that the leader put at the start of its term. */
      readonly firstIndex: number;
      readonly progress: Map<MemberId, MemberProgress>;
      /** Proposals in progress by the index of their entry. */
      readonly proposals: Map<number, number>;
      queries: WaitingQuery[];
      round: number;
      lastBroadcastAt: Milliseconds;
    };

export type LeaderRole = Extract<ReplicaRole, { readonly kind: 'leader' }>;

/** A membership and the index of the entry or snapshot that brought it. */
export interface MembershipRecord {
  readonly index: number;
  readonly membership: Membership;
}

/** Whole mutable state of a replica; only the replica's own modules see it. */
export interface ReplicaCore {
  readonly self: Member;
  readonly state: AnyReplicatedState;
  readonly slots: readonly string[];
  /** `null` where only the listed slots may hold replicas. */
  readonly repair: SelfRepair | null;
  readonly timing: ReplicaTiming;
  readonly random: SeededRandom;
  readonly log: ReplicaLog;
  /** Founding of the group; `null` while the replica is blank. */
  groupId: string | null;
  term: number;
  votedFor: MemberId | null;
  commitIndex: number;
  appliedIndex: number;
  /** Index of the last snapshot that was handed to the host to store. */
  snapshotIndex: number;
  /** Last index that this replica has stored for good. */
  stableIndex: number;
  /** Memberships by index, the last committed one first. */
  memberships: readonly MembershipRecord[];
  role: ReplicaRole;
  electionDeadline: Milliseconds;
  /** Until then the replica does not help to elect another leader. */
  loyalUntil: Milliseconds;
  /** Time of the last message of a leader after which nothing it had committed was missing. */
  currentAt: Milliseconds;
  readonly gone: Set<MemberId>;
  /** Latest blank replica of each slot that asked to join. */
  readonly joiners: Map<string, Member>;
  nextJoinAt: Milliseconds;
  persistSequence: number;
  persistedSequence: number;
  /** Last index covered by each persist effect that is not acknowledged. */
  readonly unstable: { sequence: number; lastIndex: number }[];
  /** Messages that must not leave before a persist effect is acknowledged. */
  readonly held: { readonly sequence: number; readonly effect: ReplicaEffect }[];
  effects: ReplicaEffect[];
}

/** Membership in force: that of the last entry, whether it is committed or not. */
export function currentMembership(core: ReplicaCore): Membership {
  return core.memberships.at(-1)?.membership ?? { voters: [], learners: [] };
}

/** Last membership that is known to be committed. */
export function committedMembership(core: ReplicaCore): Membership {
  const committed = core.memberships.filter((record) => record.index <= core.commitIndex);
  return committed.at(-1)?.membership ?? currentMembership(core);
}

function hasMemory(membership: Membership): boolean {
  return membership.voters.some((voter) => !voter.durable);
}

/**
 * Quorum rule's view of the memberships in force.
 *
 * @remarks
 * A change is started only when the one before it is committed, so the last two are enough. Where
 * all voters are durable every quorum is a majority, and majorities of memberships that differ by
 * one voter meet anyway: there the last one alone counts, so that the loss of another voter during
 * a repair does not hold it up.
 */
export function quorumView(core: ReplicaCore): QuorumView {
  const [last, former] = [core.memberships.at(-1), core.memberships.at(-2)];
  const isCommitted = last === undefined || last.index <= core.commitIndex;
  const changing = [last, former].flatMap((record) => record?.membership ?? []);
  const memberships = isCommitted || !changing.some(hasMemory) ? changing.slice(0, 1) : changing;
  return { memberships, gone: core.gone };
}

/** Tells whether this replica is a voter of the membership in force. */
export function isVoterItself(core: ReplicaCore): boolean {
  return isVoter(currentMembership(core), core.self.id);
}

/** Asks the host to store records. */
export function persist(core: ReplicaCore, records: readonly StoredRecord[]): void {
  core.persistSequence += 1;
  core.unstable.push({ sequence: core.persistSequence, lastIndex: core.log.last.index });
  core.effects.push({ kind: 'persist', sequence: core.persistSequence, records });
}

/** Forgets that entries from an index on were stored, because others take their place. */
export function markUnstableFrom(core: ReplicaCore, index: number): void {
  core.stableIndex = Math.min(core.stableIndex, index - 1);
  for (const item of core.unstable) item.lastIndex = Math.min(item.lastIndex, index - 1);
}

function sendEffect(core: ReplicaCore, to: MemberId, body: ReplicaMessageBody): ReplicaEffect {
  const message: ReplicaMessage = { groupId: core.groupId, from: core.self.id, to, body };
  return { kind: 'send', slot: slotOf(to), message };
}

/** Sends a message that says nothing about what this replica has stored. */
export function sendNow(core: ReplicaCore, to: MemberId, body: ReplicaMessageBody): void {
  core.effects.push(sendEffect(core, to, body));
}

/** Sends a message once all that the replica asked to store is stored. */
export function sendWhenStored(core: ReplicaCore, to: MemberId, body: ReplicaMessageBody): void {
  const effect = sendEffect(core, to, body);
  if (core.persistedSequence === core.persistSequence) core.effects.push(effect);
  else core.held.push({ sequence: core.persistSequence, effect });
}

/** Answers a proposal or query. */
export function answer(core: ReplicaCore, requestId: number, outcome: Outcome<unknown>): void {
  core.effects.push({ kind: 'answer', requestId, outcome });
}

/** Takes the host's word that all persist effects up to a sequence are stored. */
export function acknowledgePersisted(core: ReplicaCore, sequence: number): void {
  core.persistedSequence = Math.max(core.persistedSequence, sequence);
  while (core.unstable[0] !== undefined && core.unstable[0].sequence <= sequence) {
    const stored = core.unstable.shift();
    if (stored !== undefined) core.stableIndex = Math.max(core.stableIndex, stored.lastIndex);
  }
  while (core.held[0] !== undefined && core.held[0].sequence <= sequence) {
    const released = core.held.shift();
    if (released !== undefined) core.effects.push(released.effect);
  }
}

/** Chooses when the replica stands for election if it hears of no leader. */
export function resetElectionDeadline(core: ReplicaCore, now: Milliseconds): void {
  const { electionMilliseconds } = core.timing;
  core.electionDeadline = now + electionMilliseconds * (1 + core.random.next());
}

/** Keeps a membership that an entry or snapshot brought. */
export function addMembership(core: ReplicaCore, record: MembershipRecord): void {
  core.memberships = [...core.memberships, record];
}

/** Drops the memberships of entries that others take the place of. */
export function dropMembershipsFrom(core: ReplicaCore, index: number): void {
  core.memberships = core.memberships.filter((record) => record.index < index);
}

/** Drops memberships that a later committed one has taken the place of. */
export function pruneMemberships(core: ReplicaCore): void {
  const committed = core.memberships.filter((record) => record.index <= core.commitIndex);
  const oldest = committed.at(-1)?.index ?? 0;
  core.memberships = core.memberships.filter((record) => record.index >= oldest);
}
