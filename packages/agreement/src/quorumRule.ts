import { durableVoters, type MemberId, type Membership } from './groupMembership.js';

/** Input of the quorum rule, apart from the set of supporters. */
export interface QuorumView {
  /**
   * The current membership, and the previous one until the current one is known to be committed.
   *
   * @remarks
   * A quorum has to satisfy all of them. The durable voters of the previous membership may form a
   * quorum on their own, and a majority of the new membership does not always intersect it.
   */
  readonly memberships: readonly Membership[];
  /** Members replaced by a later incarnation of their slot; they never vote or acknowledge again. */
  readonly superseded: ReadonlySet<MemberId>;
}

type SupersededMembers = QuorumView['superseded'];

function supportingVoters(
  membership: Membership,
  superseded: SupersededMembers,
  supporters: ReadonlySet<MemberId>,
): readonly MemberId[] {
  return membership.voters
    .map((voter) => voter.id)
    .filter((id) => supporters.has(id) && !superseded.has(id));
}

function isMajority(membership: Membership, supporting: readonly MemberId[]): boolean {
  return supporting.length * 2 > membership.voters.length;
}

/** A majority of the voters that includes at least one durable voter. */
function isRegularQuorum(membership: Membership, supporting: readonly MemberId[]): boolean {
  const durable = durableVoters(membership);
  return isMajority(membership, supporting) && supporting.some((id) => durable.includes(id));
}

/**
 * All durable voters, if every in-memory voter is superseded.
 *
 * @remarks
 * Every regular quorum includes a durable voter, so this set intersects each of them.
 */
function isDurableOnlyQuorum(
  membership: Membership,
  superseded: SupersededMembers,
  supporting: readonly MemberId[],
): boolean {
  const durable = durableVoters(membership);
  const memoryVoters = membership.voters.filter((voter) => !voter.durable);
  return (
    durable.length > 0 &&
    memoryVoters.every((voter) => superseded.has(voter.id)) &&
    durable.every((id) => supporting.includes(id))
  );
}

/** A majority of in-memory voters, if every durable voter is superseded. */
function isMemoryOnlyQuorum(
  membership: Membership,
  superseded: SupersededMembers,
  supporting: readonly MemberId[],
): boolean {
  const areDurableVotersSuperseded = durableVoters(membership).every((id) => superseded.has(id));
  return areDurableVotersSuperseded && isMajority(membership, supporting);
}

/**
 * Tells whether the supporters may elect a leader, commit entries and extend a lease.
 *
 * @remarks
 * Any two quorums share a member that has not lost its state.
 */
export function isQuorum(view: QuorumView, supporters: ReadonlySet<MemberId>): boolean {
  const { superseded } = view;
  return view.memberships.every((membership) => {
    const supporting = supportingVoters(membership, superseded, supporters);
    return (
      isRegularQuorum(membership, supporting) ||
      isDurableOnlyQuorum(membership, superseded, supporting) ||
      isMemoryOnlyQuorum(membership, superseded, supporting)
    );
  });
}

function voterIds(view: QuorumView): readonly MemberId[] {
  const voters = view.memberships.flatMap((membership) => membership.voters);
  return [...new Set(voters.map((voter) => voter.id))];
}

/** Tells whether the voters that are not superseded can form a majority with a durable voter. */
export function canFormRegularQuorum(view: QuorumView): boolean {
  const allVoters = new Set(voterIds(view));
  return view.memberships.every((membership) =>
    isRegularQuorum(membership, supportingVoters(membership, view.superseded, allVoters)),
  );
}

/**
 * Highest value that every member of some quorum has reached, or `null` without a quorum.
 *
 * @param valueOf - value that a voter has reached, such as a log index or a time.
 */
export function highestQuorumValue(
  view: QuorumView,
  valueOf: (id: MemberId) => number,
): number | null {
  const descending = [...voterIds(view)].sort((left, right) => valueOf(right) - valueOf(left));
  const supporters = new Set<MemberId>();
  for (const id of descending) {
    supporters.add(id);
    if (isQuorum(view, supporters)) return valueOf(id);
  }
  return null;
}
