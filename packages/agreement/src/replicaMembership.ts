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
import { appendLeaderEntry, broadcast, newProgress } from './replicaReplication.js';
import { currentMembership, type LeaderRole, type ReplicaCore } from './replicaState.js';

/** Largest number of committed entries that a learner may lack when it is promoted. */
const MAXIMUM_PROMOTION_LAG_ENTRIES = 16;

/** Interval between join requests, in milliseconds. */
const JOIN_REQUEST_INTERVAL_MILLISECONDS = 500;

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
export function onJoin(core: ReplicaCore, member: Member): void {
  const slot = slotOf(member.id);
  if (core.repair === null && !core.slots.includes(slot)) return;
  recordIncarnation(core, member.id);
  const knownRequest = core.joinRequests.get(slot);
  if (knownRequest === undefined || supersedes(member.id, knownRequest.id))
    core.joinRequests.set(slot, member);
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
  if (progress === undefined || core.superseded.has(id)) return false;
  const holdsSnapshot = progress.matchIndex > 0;
  const isResponsive =
    holdsSnapshot && progress.acknowledgedSentAt > now - core.timing.electionTimeoutMilliseconds;
  return isResponsive && progress.matchIndex + MAXIMUM_PROMOTION_LAG_ENTRIES >= core.commitIndex;
}

/** A replica that requested to join and whose slot holds no member. */
function nextJoinRequest(core: ReplicaCore, membership: Membership): Member | undefined {
  const takenSlots = new Set(allMembers(membership).map((member) => slotOf(member.id)));
  return [...core.joinRequests.values()].find((member) => !takenSlots.has(slotOf(member.id)));
}

/**
 * A member to remove because it has not replied within the timeout.
 *
 * @remarks
 * A voter is removed only from a group of even size, where this lowers the majority by one. In a
 * group of odd size the majority would stay the same, with one copy less. A replica that comes back
 * joins again.
 */
function unresponsiveMember(
  core: ReplicaCore,
  role: LeaderRole,
  membership: Membership,
  now: Milliseconds,
): Member | undefined {
  const { repair } = core;
  if (repair === null) return undefined;
  const isUnresponsive = ({ id }: Member): boolean => {
    const progress = role.progress.get(id);
    if (id === core.self.id || progress === undefined) return false;
    const lastContactAt = Math.max(progress.trackedSince, progress.acknowledgedSentAt);
    return now - lastContactAt > repair.unresponsiveTimeoutMilliseconds;
  };
  const learner = membership.learners.find(isUnresponsive);
  if (learner !== undefined) return learner;
  const { voters } = membership;
  const isRemovalUseful = voters.length % 2 === 0 && voters.length > LARGEST_GROUP_WITHOUT_REMOVAL;
  return isRemovalUseful ? voters.find(isUnresponsive) : undefined;
}

/** Next single-member change towards a membership of the slots' current incarnations. */
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
  if (promotable !== undefined) return withPromotedLearner(membership, promotable);
  const unresponsive = unresponsiveMember(core, role, membership, now);
  if (unresponsive !== undefined) return withoutMember(membership, unresponsive.id);
  const joiner = nextJoinRequest(core, membership);
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
  for (const [slot, joiner] of core.joinRequests) {
    if (isVoter(membership, joiner.id)) core.joinRequests.delete(slot);
  }
  broadcast(core, role, now);
}
