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
import { appendOwn, broadcast, newProgress } from './replicaReplication.js';
import { currentMembership, type LeaderRole, type ReplicaCore } from './replicaState.js';

/** Entries that a learner may lack when it is promoted. */
const PROMOTION_LAG_ENTRIES = 16;

/** Interval at which a replica outside of the group asks to join, in milliseconds. */
const JOIN_INTERVAL_MILLISECONDS = 500;

/** Voters below which a group keeps a silent one, so that its return is a majority again. */
const SMALLEST_REPAIRED_GROUP = 2;

/** Remembers which members ended, because a later incarnation of their slot was heard. */
export function noteIncarnation(core: ReplicaCore, id: MemberId): void {
  for (const { membership } of core.memberships) {
    for (const member of allMembers(membership)) {
      if (supersedes(id, member.id)) core.gone.add(member.id);
    }
  }
}

/** Takes the request of a replica that belongs to no group, or that has lost its leader. */
export function onJoin(core: ReplicaCore, member: Member): void {
  const slot = slotOf(member.id);
  if (core.repair === null && !core.slots.includes(slot)) return;
  noteIncarnation(core, member.id);
  const known = core.joiners.get(slot);
  if (known === undefined || supersedes(member.id, known.id)) core.joiners.set(slot, member);
}

/** Asks all slots of the group to be let in, from time to time. */
export function askToJoin(core: ReplicaCore, now: Milliseconds): void {
  if (now < core.nextJoinAt) return;
  core.nextJoinAt = now + JOIN_INTERVAL_MILLISECONDS;
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

function without(membership: Membership, id: MemberId): Membership {
  return {
    voters: membership.voters.filter((member) => member.id !== id),
    learners: membership.learners.filter((member) => member.id !== id),
  };
}

function promoted(membership: Membership, learner: Member): Membership {
  const rest = without(membership, learner.id);
  return { ...rest, voters: [...rest.voters, learner] };
}

function isReadyForPromotion(
  core: ReplicaCore,
  role: LeaderRole,
  id: MemberId,
  now: Milliseconds,
): boolean {
  const progress = role.progress.get(id);
  if (progress === undefined || core.gone.has(id)) return false;
  const holdsSnapshot = progress.matchIndex > 0;
  const isPresent =
    holdsSnapshot && progress.answeredSentAt > now - core.timing.electionMilliseconds;
  return isPresent && progress.matchIndex + PROMOTION_LAG_ENTRIES >= core.commitIndex;
}

/** A replica that asked to join and whose slot has no other member. */
function nextJoiner(core: ReplicaCore, membership: Membership): Member | undefined {
  const taken = new Set(allMembers(membership).map((member) => slotOf(member.id)));
  return [...core.joiners.values()].find((member) => !taken.has(slotOf(member.id)));
}

/**
 * A member that has been silent for so long that its place is better left empty.
 *
 * @remarks
 * A voter goes only from a group of even size: the rest then needs one answer less for a majority,
 * while a group of odd size would lose a copy and gain nothing. A replica that comes back joins
 * again.
 */
function silentMember(
  core: ReplicaCore,
  role: LeaderRole,
  membership: Membership,
  now: Milliseconds,
): Member | undefined {
  const { repair } = core;
  if (repair === null) return undefined;
  const isSilent = ({ id }: Member): boolean => {
    const progress = role.progress.get(id);
    if (id === core.self.id || progress === undefined) return false;
    const heardAt = Math.max(progress.since, progress.answeredSentAt);
    return now - heardAt > repair.silenceMilliseconds;
  };
  const learner = membership.learners.find(isSilent);
  if (learner !== undefined) return learner;
  const { voters } = membership;
  const isWorthLess = voters.length % 2 === 0 && voters.length > SMALLEST_REPAIRED_GROUP;
  return isWorthLess ? voters.find(isSilent) : undefined;
}

/** Next single change towards a membership of the slots' present incarnations. */
function nextMembership(
  core: ReplicaCore,
  role: LeaderRole,
  now: Milliseconds,
): Membership | undefined {
  const membership = currentMembership(core);
  const ended = allMembers(membership).find((member) => core.gone.has(member.id));
  if (ended !== undefined) return without(membership, ended.id);
  const ready = membership.learners.find((learner) =>
    isReadyForPromotion(core, role, learner.id, now),
  );
  if (ready !== undefined) return promoted(membership, ready);
  const silent = silentMember(core, role, membership, now);
  if (silent !== undefined) return without(membership, silent.id);
  const joiner = nextJoiner(core, membership);
  if (joiner === undefined) return undefined;
  return { ...membership, learners: [...membership.learners, joiner] };
}

function isChangeInProgress(core: ReplicaCore, role: LeaderRole): boolean {
  const last = core.memberships.at(-1)?.index ?? 0;
  return last > core.commitIndex || role.firstIndex > core.commitIndex;
}

/** Starts the next change of membership if one is needed and none is in progress. */
export function driveMembership(core: ReplicaCore, role: LeaderRole, now: Milliseconds): void {
  if (isChangeInProgress(core, role)) return;
  const membership = nextMembership(core, role, now);
  if (membership === undefined) return;
  appendOwn(core, { kind: 'membership', membership });
  for (const { id } of allMembers(membership)) {
    if (!role.progress.has(id)) role.progress.set(id, newProgress(core, now));
  }
  for (const id of role.progress.keys()) {
    if (!isMember(membership, id)) role.progress.delete(id);
  }
  for (const [slot, joiner] of core.joiners) {
    if (isVoter(membership, joiner.id)) core.joiners.delete(slot);
  }
  broadcast(core, role, now);
}
