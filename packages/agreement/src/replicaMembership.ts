import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import {
  allMembers,
  isMember,
  isVoter,
  slotOf,
  supersedes,
  type Member,
  type MemberId,
  type Membership,
} from './groupMembership.js';
import { isQuorum } from './quorumRule.js';
import { appendLeaderEntry, broadcast, newProgress } from './replicaReplication.js';
import { currentMembership, type LeaderRole, type ReplicaCore } from './replicaState.js';

/** Largest number of committed entries that a learner may lack when it is promoted. */
const MAXIMUM_PROMOTION_LAG_ENTRIES = 16;

/** Interval between join requests, in milliseconds. */
const JOIN_REQUEST_INTERVAL_MILLISECONDS = 500;

/** Time for which a join request counts unless it is repeated, in milliseconds. */
const JOIN_REQUEST_LIFETIME_MILLISECONDS = 5 * JOIN_REQUEST_INTERVAL_MILLISECONDS;

/** A group of at most this many voters keeps an unresponsive one, which it needs for a majority. */
const LARGEST_GROUP_WITHOUT_REMOVAL = 2;

/** Marks members as superseded if `id` is a later incarnation of their slot. */
export function recordIncarnation(core: ReplicaCore, id: MemberId): void {
  for (const { membership } of core.memberships) {
    for (const member of allMembers(membership)) {
      if (supersedes(id, member.id)) core.superseded.add(member.id);
    }
  }
}

/** Handles a join request of a replica that has no group or no contact with its leader. */
export function onJoin(core: ReplicaCore, member: Member, now: Milliseconds): void {
  const slot = slotOf(member.id);
  if (core.repair === null && !core.slots.includes(slot)) return;
  recordIncarnation(core, member.id);
  const known = core.joinRequests.get(slot)?.member;
  if (known === undefined || known.id === member.id || supersedes(member.id, known.id))
    core.joinRequests.set(slot, { member, receivedAt: now });
}

/** Sends a join request to all slots of the group, at most once per interval. */
export function requestJoin(core: ReplicaCore, now: Milliseconds): void {
  if (now < core.nextJoinRequestAt) return;
  core.nextJoinRequestAt = now + JOIN_REQUEST_INTERVAL_MILLISECONDS;
  const { groupId, self } = core;
  for (const slot of core.slots) {
    if (slot === slotOf(self.id)) continue;
    const body = { kind: 'join', member: self } as const;
    core.effects.push({
      kind: 'send',
      slot,
      message: { groupId, from: self.id, to: null, body },
    });
  }
}

function withoutMember(membership: Membership, id: MemberId): Membership {
  return {
    voters: membership.voters.filter((member) => member.id !== id),
    learners: membership.learners.filter((member) => member.id !== id),
  };
}

function withPromotedLearner(membership: Membership, learner: Member): Membership {
  const otherMembers = withoutMember(membership, learner.id);
  return { ...otherMembers, voters: [...otherMembers.voters, learner] };
}

function isReadyForPromotion(
  core: ReplicaCore,
  role: LeaderRole,
  id: MemberId,
  now: Milliseconds,
): boolean {
  const progress = role.progress.get(id);
  if (progress === undefined || core.superseded.has(id) || core.resigned.has(id)) return false;
  const holdsSnapshot = progress.matchIndex > 0;
  const isResponsive =
    holdsSnapshot && progress.acknowledgedSentAt > now - core.timing.electionTimeoutMilliseconds;
  return isResponsive && progress.matchIndex + MAXIMUM_PROMOTION_LAG_ENTRIES >= core.commitIndex;
}

/** A replica that has just requested to join and whose slot holds no member. */
function nextJoinRequest(
  core: ReplicaCore,
  membership: Membership,
  now: Milliseconds,
): Member | undefined {
  const takenSlots = new Set(allMembers(membership).map((member) => slotOf(member.id)));
  const requests = [...core.joinRequests.values()];
  return requests.find(
    ({ member, receivedAt }) =>
      now - receivedAt < JOIN_REQUEST_LIFETIME_MILLISECONDS && !takenSlots.has(slotOf(member.id)),
  )?.member;
}

/** Tells whether a member has announced its stop or has not replied within the timeout. */
function isSilent(
  core: ReplicaCore,
  role: LeaderRole,
  id: MemberId,
  timeoutMilliseconds: number,
  now: Milliseconds,
): boolean {
  const progress = role.progress.get(id);
  if (id === core.self.id || progress === undefined) return false;
  const lastContactAt = Math.max(progress.trackedSince, progress.acknowledgedSentAt);
  return core.resigned.has(id) || now - lastContactAt > timeoutMilliseconds;
}

/** Members that could take part in a commit now: this replica and those that have just replied. */
function respondingMembers(
  core: ReplicaCore,
  role: LeaderRole,
  membership: Membership,
  now: Milliseconds,
): ReadonlySet<MemberId> {
  const since = now - core.timing.electionTimeoutMilliseconds;
  const isResponding = (id: MemberId): boolean =>
    id === core.self.id ||
    (!core.resigned.has(id) && (role.progress.get(id)?.acknowledgedSentAt ?? since) > since);
  return new Set(
    allMembers(membership)
      .map(({ id }) => id)
      .filter(isResponding),
  );
}

function majorityOf(voters: number): number {
  return Math.floor(voters / 2) + 1;
}

/**
 * A silent voter that the group is better off without.
 *
 * @remarks
 * That is the case if a learner is ready to take its place, or if the majority gets smaller once all
 * silent voters are removed. Otherwise it stays, since the group would have one copy less and could
 * lose no more members than before. A removed replica that comes back joins again.
 */
function removableVoter(
  core: ReplicaCore,
  role: LeaderRole,
  membership: Membership,
  hasReplacement: boolean,
  now: Milliseconds,
): Member | undefined {
  const { repair } = core;
  const { voters } = membership;
  if (repair === null || voters.length <= LARGEST_GROUP_WITHOUT_REMOVAL) return undefined;
  const silent = voters.filter(({ id }) =>
    isSilent(core, role, id, repair.voterTimeoutMilliseconds, now),
  );
  const [first] = silent;
  if (first === undefined) return undefined;
  const isMajorityLowered = majorityOf(voters.length - silent.length) < majorityOf(voters.length);
  if (!hasReplacement && !isMajorityLowered) return undefined;
  const remaining = withoutMember(membership, first.id);
  const view = { memberships: [remaining], superseded: core.superseded };
  return isQuorum(view, respondingMembers(core, role, remaining, now)) ? first : undefined;
}

function silentLearner(
  core: ReplicaCore,
  role: LeaderRole,
  membership: Membership,
  now: Milliseconds,
): Member | undefined {
  const { repair } = core;
  if (repair === null) return undefined;
  return membership.learners.find(({ id }) =>
    isSilent(core, role, id, repair.learnerTimeoutMilliseconds, now),
  );
}

/**
 * Next single-member change towards a membership of the slots' current incarnations.
 *
 * @remarks
 * A silent voter is removed before a learner is promoted: the other way round the majority would
 * grow for a moment by a replica that has only just started.
 */
function nextMembership(
  core: ReplicaCore,
  role: LeaderRole,
  now: Milliseconds,
): Membership | undefined {
  const membership = currentMembership(core);
  const superseded = allMembers(membership).find((member) => core.superseded.has(member.id));
  if (superseded !== undefined) return withoutMember(membership, superseded.id);
  const promotable = membership.learners.find((learner) =>
    isReadyForPromotion(core, role, learner.id, now),
  );
  const removable =
    silentLearner(core, role, membership, now) ??
    removableVoter(core, role, membership, promotable !== undefined, now);
  if (removable !== undefined) return withoutMember(membership, removable.id);
  if (promotable !== undefined) return withPromotedLearner(membership, promotable);
  const joiner = nextJoinRequest(core, membership, now);
  if (joiner === undefined) return undefined;
  return { ...membership, learners: [...membership.learners, joiner] };
}

function isChangeInProgress(core: ReplicaCore, role: LeaderRole): boolean {
  const last = core.memberships.at(-1)?.index ?? 0;
  return last > core.commitIndex || role.termStartIndex > core.commitIndex;
}

/** Starts the next membership change if one is needed and none is in progress. */
export function advanceMembershipChange(
  core: ReplicaCore,
  role: LeaderRole,
  now: Milliseconds,
): void {
  if (isChangeInProgress(core, role)) return;
  const membership = nextMembership(core, role, now);
  if (membership === undefined) return;
  appendLeaderEntry(core, { kind: 'membership', membership });
  for (const { id } of allMembers(membership)) {
    if (!role.progress.has(id)) role.progress.set(id, newProgress(core, now));
  }
  for (const id of role.progress.keys()) {
    if (!isMember(membership, id)) role.progress.delete(id);
  }
  for (const [slot, { member }] of core.joinRequests) {
    if (isVoter(membership, member.id)) core.joinRequests.delete(slot);
  }
  broadcast(core, role, now);
}
