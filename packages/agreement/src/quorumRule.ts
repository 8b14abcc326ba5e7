import { durableVoters, type MemberId, type Membership } from './groupMembership.js';

/** What the quorum rule depends on besides the supporters. */
export interface QuorumView {
  readonly membership: Membership;
  /** Members that ended for good: their slots returned under later incarnations. */
  readonly gone: ReadonlySet<MemberId>;
  /** True when the durable voters are the same as in the last membership known to be committed. */
  readonly durableVotersSettled: boolean;
}

function presentVoters(view: QuorumView, supporters: ReadonlySet<MemberId>): readonly MemberId[] {
  return view.membership.voters
    .map((voter) => voter.id)
    .filter((id) => supporters.has(id) && !view.gone.has(id));
}

function isMajority(view: QuorumView, present: readonly MemberId[]): boolean {
  return present.length * 2 > view.membership.voters.length;
}

/** A majority of the voters with at least one durable voter in it. */
export function isRegularQuorum(view: QuorumView, supporters: ReadonlySet<MemberId>): boolean {
  const present = presentVoters(view, supporters);
  const durable = durableVoters(view.membership);
  return isMajority(view, present) && present.some((id) => durable.includes(id));
}

/**
 * All durable voters, when every voter in memory is gone.
 *
 * @remarks
 * Every regular quorum has a durable voter, so this set meets all of them. It is refused while a
 * change of the durable voters may be uncommitted, because the two sets could then differ.
 */
function isDurableRemnant(view: QuorumView, supporters: ReadonlySet<MemberId>): boolean {
  if (!view.durableVotersSettled) return false;
  const durable = durableVoters(view.membership);
  const memory = view.membership.voters.filter((voter) => !voter.durable);
  const present = presentVoters(view, supporters);
  return (
    durable.length > 0 &&
    memory.every((voter) => view.gone.has(voter.id)) &&
    durable.every((id) => present.includes(id))
  );
}

/** A majority in memory, when every durable voter is gone. */
function isMemoryRemnant(view: QuorumView, supporters: ReadonlySet<MemberId>): boolean {
  const durable = durableVoters(view.membership);
  return (
    durable.every((id) => view.gone.has(id)) && isMajority(view, presentVoters(view, supporters))
  );
}

/**
 * Tells whether the supporters may elect a leader, commit entries and uphold a lease.
 *
 * @remarks
 * Any two sets that satisfy the rule have a member in common that did not forget.
 */
export function isQuorum(view: QuorumView, supporters: ReadonlySet<MemberId>): boolean {
  return (
    isRegularQuorum(view, supporters) ||
    isDurableRemnant(view, supporters) ||
    isMemoryRemnant(view, supporters)
  );
}

/** Tells whether the voters that are not gone can still form a regular quorum. */
export function canFormRegularQuorum(view: QuorumView): boolean {
  return isRegularQuorum(view, new Set(view.membership.voters.map((voter) => voter.id)));
}

/**
 * Highest value that a quorum has reached, or `null` when there is none.
 *
 * @param valueOf - what each voter has reached, such as an index of the log or a time.
 */
export function highestReached(view: QuorumView, valueOf: (id: MemberId) => number): number | null {
  const voters = view.membership.voters.map((voter) => voter.id);
  const descending = [...voters].sort((left, right) => valueOf(right) - valueOf(left));
  const supporters = new Set<MemberId>();
  for (const id of descending) {
    supporters.add(id);
    if (isQuorum(view, supporters)) return valueOf(id);
  }
  return null;
}
