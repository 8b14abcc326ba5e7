import { durableVoters, type MemberId, type Membership } from './groupMembership.js';

/** What the quorum rule depends on besides the supporters. */
export interface QuorumView {
  /**
   * The membership in force, and while it is not known to be committed the one before it.
   *
   * @remarks
   * A quorum has to satisfy all of them. Durable voters of the former membership may be a quorum of
   * it by themselves, so a majority of the new one alone would not always meet them.
   */
  readonly memberships: readonly Membership[];
  /** Members that ended for good: their slots returned under later incarnations. */
  readonly gone: ReadonlySet<MemberId>;
}

type Gone = QuorumView['gone'];

function presentVoters(
  membership: Membership,
  gone: Gone,
  supporters: ReadonlySet<MemberId>,
): readonly MemberId[] {
  return membership.voters
    .map((voter) => voter.id)
    .filter((id) => supporters.has(id) && !gone.has(id));
}

function isMajority(membership: Membership, present: readonly MemberId[]): boolean {
  return present.length * 2 > membership.voters.length;
}

/** A majority of the voters with at least one durable voter in it. */
function isRegular(membership: Membership, present: readonly MemberId[]): boolean {
  const durable = durableVoters(membership);
  return isMajority(membership, present) && present.some((id) => durable.includes(id));
}

/**
 * All durable voters, when every voter in memory is gone.
 *
 * @remarks
 * Every regular quorum has a durable voter, so this set meets all of them.
 */
function isDurableRemnant(
  membership: Membership,
  gone: Gone,
  present: readonly MemberId[],
): boolean {
  const durable = durableVoters(membership);
  const memory = membership.voters.filter((voter) => !voter.durable);
  return (
    durable.length > 0 &&
    memory.every((voter) => gone.has(voter.id)) &&
    durable.every((id) => present.includes(id))
  );
}

/** A majority in memory, when every durable voter is gone. */
function isMemoryRemnant(
  membership: Membership,
  gone: Gone,
  present: readonly MemberId[],
): boolean {
  const areDurableGone = durableVoters(membership).every((id) => gone.has(id));
  return areDurableGone && isMajority(membership, present);
}

/**
 * Tells whether the supporters may elect a leader, commit entries and uphold a lease.
 *
 * @remarks
 * Any two sets that satisfy the rule have a member in common that did not forget.
 */
export function isQuorum(view: QuorumView, supporters: ReadonlySet<MemberId>): boolean {
  const { gone } = view;
  return view.memberships.every((membership) => {
    const present = presentVoters(membership, gone, supporters);
    return (
      isRegular(membership, present) ||
      isDurableRemnant(membership, gone, present) ||
      isMemoryRemnant(membership, gone, present)
    );
  });
}

function voterIds(view: QuorumView): readonly MemberId[] {
  const voters = view.memberships.flatMap((membership) => membership.voters);
  return [...new Set(voters.map((voter) => voter.id))];
}

/** Tells whether the voters that are not gone can still form a majority with a durable voter. */
export function canFormRegularQuorum(view: QuorumView): boolean {
  const everyone = new Set(voterIds(view));
  return view.memberships.every((membership) =>
    isRegular(membership, presentVoters(membership, view.gone, everyone)),
  );
}

/**
 * Highest value that a quorum has reached, or `null` when there is none.
 *
 * @param valueOf - what each voter has reached, such as an index of the log or a time.
 */
export function highestReached(view: QuorumView, valueOf: (id: MemberId) => number): number | null {
  const descending = [...voterIds(view)].sort((left, right) => valueOf(right) - valueOf(left));
  const supporters = new Set<MemberId>();
  for (const id of descending) {
    supporters.add(id);
    if (isQuorum(view, supporters)) return valueOf(id);
  }
  return null;
}
