/** Identifier of a replica: its slot and its incarnation, joined by `#`. */
export type MemberId = string;

const SEPARATOR = '#';

/** A replica of a group. */
export interface Member {
  readonly id: MemberId;
  /** True if the replica syncs its log to disk before it acknowledges. */
  readonly durable: boolean;
}

/** Members of a group as of one log position. */
export interface Membership {
  readonly voters: readonly Member[];
  /** Non-voting replicas that receive the log. */
  readonly learners: readonly Member[];
}

/** Builds the identifier of a member from its slot and incarnation. */
export function memberId(slot: string, incarnation: string): MemberId {
  return `${slot}${SEPARATOR}${incarnation}`;
}

/** Slot of a member, which stays the same across restarts. */
export function slotOf(id: MemberId): string {
  return id.slice(0, id.indexOf(SEPARATOR));
}

export function incarnationOf(id: MemberId): string {
  return id.slice(id.indexOf(SEPARATOR) + 1);
}

/**
 * Tells whether `later` is a later incarnation of the slot of `earlier`.
 *
 * @remarks
 * Incarnations of a slot are compared as strings. A superseded member has ended and never sends,
 * votes or acknowledges again.
 */
export function supersedes(later: MemberId, earlier: MemberId): boolean {
  return slotOf(later) === slotOf(earlier) && incarnationOf(later) > incarnationOf(earlier);
}

/** Voters, followed by learners. */
export function allMembers(membership: Membership): readonly Member[] {
  return [...membership.voters, ...membership.learners];
}

export function isVoter(membership: Membership, id: MemberId): boolean {
  return membership.voters.some((voter) => voter.id === id);
}

/** Tells whether a member is a voter or a learner. */
export function isMember(membership: Membership, id: MemberId): boolean {
  return allMembers(membership).some((member) => member.id === id);
}

/** Identifiers of the durable voters, sorted. */
export function durableVoters(membership: Membership): readonly MemberId[] {
  return membership.voters
    .filter((voter) => voter.durable)
    .map((voter) => voter.id)
    .sort();
}
