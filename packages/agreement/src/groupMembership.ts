/** Name of a replica: its slot and its incarnation, joined by `#`. */
export type MemberId = string;

const SEPARATOR = '#';

/** A replica of a group. */
export interface Member {
  readonly id: MemberId;
  /** True when the replica syncs its log to a disk before it acknowledges. */
  readonly durable: boolean;
}

/** Replicas of a group at one place in its log. */
export interface Membership {
  readonly voters: readonly Member[];
  /** Replicas that receive the log but count for no quorum. */
  readonly learners: readonly Member[];
}

/** Joins a slot and an incarnation. */
export function memberId(slot: string, incarnation: string): MemberId {
  return `${slot}${SEPARATOR}${incarnation}`;
}

/** Slot of a member; it stays the same over restarts. */
export function slotOf(id: MemberId): string {
  return id.slice(0, id.indexOf(SEPARATOR));
}

/** Incarnation of a member. */
export function incarnationOf(id: MemberId): string {
  return id.slice(id.indexOf(SEPARATOR) + 1);
}

/**
 * Tells whether `later` is a later incarnation of the slot of `earlier`.
 *
 * @remarks
 * Incarnations of one slot are ordered as texts. A superseded member has ended and will never
 * send, vote or acknowledge again.
 */
export function supersedes(later: MemberId, earlier: MemberId): boolean {
  return slotOf(later) === slotOf(earlier) && incarnationOf(later) > incarnationOf(earlier);
}

/** All members, voters first. */
export function allMembers(membership: Membership): readonly Member[] {
  return [...membership.voters, ...membership.learners];
}

/** Tells whether a member is a voter. */
export function isVoter(membership: Membership, id: MemberId): boolean {
  return membership.voters.some((voter) => voter.id === id);
}

/** Tells whether a member is a voter or a learner. */
export function isMember(membership: Membership, id: MemberId): boolean {
  return allMembers(membership).some((member) => member.id === id);
}

/** Names of the durable voters in sorted order. */
export function durableVoters(membership: Membership): readonly MemberId[] {
  return membership.voters
    .filter((voter) => voter.durable)
    .map((voter) => voter.id)
    .sort();
}
