import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { MemberId } from './groupMembership.js';
import { recordConfirmation, sendReply } from './replicaConfirmation.js';
import { becomeFollower, enterTerm, onVoteReply, onVoteRequest } from './replicaElection.js';
import { advanceMembershipChange, recordIncarnation, onJoin } from './replicaMembership.js';
import type {
  AppendEntries,
  AppendReply,
  InstallSnapshot,
  ReplicaMessage,
} from './replicaMessage.js';
import { answerQueries } from './replicaQuery.js';
import { onAppend, onAppendReply } from './replicaReplication.js';
import { onResign } from './replicaResignation.js';
import { onInstallSnapshot } from './replicaSnapshot.js';
import { resetElectionDeadline, type ReplicaCore } from './replicaState.js';

function followLeader(core: ReplicaCore, from: MemberId, term: number, now: Milliseconds): void {
  if (core.role.kind !== 'follower' || core.role.leader !== from) becomeFollower(core, from);
  if (term > core.term) enterTerm(core, term);
  core.followedLeader = { id: from, heardAt: now };
  core.votesRefusedUntil = now + core.timing.electionTimeoutMilliseconds;
  core.preVotesWithoutLeader = 0;
  resetElectionDeadline(core, now);
}

function onLeaderMessage(
  core: ReplicaCore,
  from: MemberId,
  body: AppendEntries | InstallSnapshot,
  now: Milliseconds,
): void {
  if (body.term < core.term) {
    sendReply(core, from, body, { term: core.term, accepted: false, index: 0 }, now);
    return;
  }
  followLeader(core, from, body.term, now);
  if (body.kind === 'append') onAppend(core, from, body, now);
  else onInstallSnapshot(core, from, body, now);
  recordConfirmation(core, body);
}

function onFollowerReply(
  core: ReplicaCore,
  from: MemberId,
  reply: AppendReply,
  now: Milliseconds,
): void {
  if (reply.term > core.term) {
    becomeFollower(core, null);
    enterTerm(core, reply.term);
    return;
  }
  if (core.role.kind !== 'leader' || reply.term !== core.term) return;
  onAppendReply(core, core.role, from, reply, now);
  answerQueries(core, core.role);
  advanceMembershipChange(core, core.role, now);
}

/** Handles a message from another replica; drops messages for other members or groups. */
export function dispatch(core: ReplicaCore, message: ReplicaMessage, now: Milliseconds): void {
  const { from, body } = message;
  if (body.kind === 'join') {
    onJoin(core, body.member, now);
    return;
  }
  if (message.to !== core.self.id) return;
  const isOtherGroup = message.groupId !== null && message.groupId !== core.groupId;
  if (core.groupId !== null && isOtherGroup) return;
  const isReply = body.kind === 'appendReply' || body.kind === 'voteReply';
  if (core.groupId === null && isReply) return;
  recordIncarnation(core, from);
  core.resigned.delete(from);
  switch (body.kind) {
    case 'append':
    case 'install':
      onLeaderMessage(core, from, body, now);
      return;
    case 'appendReply':
      onFollowerReply(core, from, body, now);
      return;
    case 'voteRequest':
      onVoteRequest(core, from, body, now);
      return;
    case 'voteReply':
      onVoteReply(core, from, body, now);
      return;
    case 'resign':
      onResign(core, from, body, now);
      return;
  }
}
