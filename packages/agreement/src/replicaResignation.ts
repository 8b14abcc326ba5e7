import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { allMembers, type MemberId } from './groupMembership.js';
import { becomeFollower } from './replicaElection.js';
import { advanceMembershipChange } from './replicaMembership.js';
import type { Resignation } from './replicaMessage.js';
import {
  currentMembership,
  sendImmediately,
  setEarlyElectionDeadline,
  type LeaderRole,
  type ReplicaCore,
} from './replicaState.js';

/** The voter that lacks the fewest entries, of those that have replied last. */
function mostAdvancedVoter(core: ReplicaCore, role: LeaderRole): MemberId | null {
  const rank = (id: MemberId): readonly [number, number] => {
    const progress = role.progress.get(id);
    return [progress?.matchIndex ?? 0, progress?.acknowledgedSentAt ?? Number.NEGATIVE_INFINITY];
  };
  const candidates = currentMembership(core)
    .voters.map(({ id }) => id)
    .filter((id) => id !== core.self.id && !core.resigned.has(id))
    .sort((left, right) => {
      const [[leftIndex, leftAt], [rightIndex, rightAt]] = [rank(left), rank(right)];
      return rightIndex - leftIndex || (rightAt > leftAt ? 1 : -1);
    });
  return candidates[0] ?? null;
}

/**
 * Announces to all members that this replica stops, and ends its part in the group.
 *
 * @remarks
 * The group need not wait for the silence of a member that it can do without, and a leader hands its
 * place over instead of being missed. The replica stays a member if the group is better off with it
 * after a restart.
 */
export function resign(core: ReplicaCore): void {
  if (core.groupId === null || core.hasResigned) return;
  const { role } = core;
  const successor = role.kind === 'leader' ? mostAdvancedVoter(core, role) : null;
  for (const { id } of allMembers(currentMembership(core))) {
    if (id !== core.self.id) sendImmediately(core, id, { kind: 'resign', successor });
  }
  becomeFollower(core, null);
  core.hasResigned = true;
}

/** Handles the announced stop of a member. */
export function onResign(
  core: ReplicaCore,
  from: MemberId,
  { successor }: Resignation,
  now: Milliseconds,
): void {
  core.resigned.add(from);
  if (core.role.kind === 'leader') {
    advanceMembershipChange(core, core.role, now);
    return;
  }
  if (core.role.kind !== 'follower' || core.role.leader !== from) return;
  // The leader has given up its lease, so nothing is lost by voting for another at once.
  core.votesRefusedUntil = Number.NEGATIVE_INFINITY;
  becomeFollower(core, null);
  setEarlyElectionDeadline(core, now);
  if (successor === core.self.id) core.electionDeadline = now;
}
