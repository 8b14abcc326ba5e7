import { failure } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { allMembers, type MemberId } from './groupMembership.js';
import { isQuorum } from './quorumRule.js';
import { appendLeaderEntry, broadcast, newProgress } from './replicaReplication.js';
import type { VoteReply, VoteRequest } from './replicaMessage.js';
import {
  answer,
  currentMembership,
  isSelfVoter,
  persist,
  quorumView,
  resetElectionDeadline,
  sendImmediately,
  setEarlyElectionDeadline,
  sendAfterPersist,
  type LeaderRole,
  type ReplicaCore,
} from './replicaState.js';

/** Becomes a follower; a leader fails its pending proposals, whose outcome is unknown, and queries. */
export function becomeFollower(core: ReplicaCore, leader: MemberId | null): void {
  const previousRole = core.role;
  core.role = { kind: 'follower', leader };
  if (previousRole.kind !== 'leader') return;
  for (const requestId of previousRole.pendingProposals.values()) {
    answer(core, requestId, failure(ResultCode.QuorumUnreachable));
  }
  for (const pending of previousRole.pendingQueries) {
    answer(core, pending.requestId, failure(ResultCode.NotLeader));
  }
}

/** Enters a later term, in which it has not voted yet. */
export function enterTerm(core: ReplicaCore, term: number): void {
  core.term = term;
  core.votedFor = null;
  persistVote(core);
}

/**
 * Persists term and vote.
 *
 * @remarks
 * A replica without a group persists nothing: after a restart it is a new member, so it cannot vote
 * twice under one identifier. Its term and vote are persisted with its first snapshot.
 */
function persistVote(core: ReplicaCore): void {
  if (core.groupId === null) return;
  persist(core, [{ kind: 'vote', term: core.term, votedFor: core.votedFor }]);
}

function requestVotes(core: ReplicaCore, isPreVote: boolean, term: number): void {
  const { index, term: lastTerm } = core.log.last;
  const request: VoteRequest = {
    kind: 'voteRequest',
    trial: isPreVote,
    term,
    lastIndex: index,
    lastTerm,
  };
  for (const voter of currentMembership(core).voters) {
    if (voter.id === core.self.id) continue;
    if (isPreVote) sendImmediately(core, voter.id, request);
    else sendAfterPersist(core, voter.id, request);
  }
}

/** Starts a pre-vote, which does not disrupt a leader that other members can reach. */
export function startPreVote(core: ReplicaCore, now: Milliseconds): void {
  setEarlyElectionDeadline(core, now);
  core.preVotesWithoutLeader += 1;
  if (!isSelfVoter(core)) return;
  core.role = { kind: 'candidate', isPreVote: true, grantedVotes: new Set([core.self.id]) };
  requestVotes(core, true, core.term + 1);
  tallyVotes(core, now);
}

function startElection(core: ReplicaCore, now: Milliseconds): void {
  core.term += 1;
  core.votedFor = core.self.id;
  core.role = { kind: 'candidate', isPreVote: false, grantedVotes: new Set() };
  persistVote(core);
  setEarlyElectionDeadline(core, now);
  requestVotes(core, false, core.term);
}

/** Heartbeats that a former leader may answer before it counts as silent. */
const HEARTBEATS_OF_FORMER_LEADER = 2;

/**
 * Time since which a new leader has not heard of a member.
 *
 * @remarks
 * It has not heard of the former leader for an election already, and a member that is to be removed
 * should not stay that much longer because it led.
 */
function silentSince(core: ReplicaCore, id: MemberId, now: Milliseconds): Milliseconds {
  const { repair, followedLeader, timing } = core;
  if (repair === null || followedLeader?.id !== id) return now;
  const timeToAnswer = HEARTBEATS_OF_FORMER_LEADER * timing.heartbeatMilliseconds;
  return Math.max(followedLeader.heardAt, now - repair.voterTimeoutMilliseconds + timeToAnswer);
}

function becomeLeader(core: ReplicaCore, now: Milliseconds): void {
  core.preVotesWithoutLeader = 0;
  const role: LeaderRole = {
    kind: 'leader',
    electedAt: now,
    termStartIndex: core.log.last.index + 1,
    progress: new Map(),
    pendingProposals: new Map(),
    pendingQueries: [],
    round: 0,
    lastBroadcastAt: now,
  };
  for (const member of allMembers(currentMembership(core))) {
    role.progress.set(member.id, newProgress(core, now, silentSince(core, member.id, now)));
  }
  core.role = role;
  appendLeaderEntry(core, { kind: 'empty' });
  broadcast(core, role, now);
}

function tallyVotes(core: ReplicaCore, now: Milliseconds): void {
  if (core.role.kind !== 'candidate') return;
  if (!isQuorum(quorumView(core), core.role.grantedVotes)) return;
  if (core.role.isPreVote) startElection(core, now);
  else becomeLeader(core, now);
}

/** Counts the candidate's own vote once it is persisted. */
export function addOwnVote(core: ReplicaCore, now: Milliseconds): void {
  if (core.role.kind !== 'candidate' || core.role.isPreVote) return;
  if (core.completedPersistSequence !== core.issuedPersistSequence) return;
  core.role.grantedVotes.add(core.self.id);
  tallyVotes(core, now);
}

function isUpToDate(core: ReplicaCore, request: VoteRequest): boolean {
  const { index, term } = core.log.last;
  if (request.lastTerm !== term) return request.lastTerm > term;
  return request.lastIndex >= index;
}

/** Tells whether this replica leads or must not yet vote against a recently heard leader. */
function mustRefuseVotes(core: ReplicaCore, now: Milliseconds): boolean {
  return core.role.kind === 'leader' || now < core.votesRefusedUntil;
}

/** Handles a vote or pre-vote request. */
export function onVoteRequest(
  core: ReplicaCore,
  from: MemberId,
  request: VoteRequest,
  now: Milliseconds,
): void {
  const { trial } = request;
  const refuse = (): void => {
    sendAfterPersist(core, from, { kind: 'voteReply', trial, term: core.term, granted: false });
  };
  if (request.term < core.term || mustRefuseVotes(core, now)) {
    refuse();
    return;
  }
  if (trial) {
    const granted = request.term > core.term && isUpToDate(core, request);
    const term = granted ? request.term : core.term;
    sendAfterPersist(core, from, { kind: 'voteReply', trial, term, granted });
    return;
  }
  if (request.term > core.term) {
    becomeFollower(core, null);
    enterTerm(core, request.term);
  }
  const mayVoteForSender = core.votedFor === null || core.votedFor === from;
  if (!mayVoteForSender || !isUpToDate(core, request)) {
    refuse();
    return;
  }
  if (core.votedFor === null) {
    core.votedFor = from;
    persistVote(core);
  }
  resetElectionDeadline(core, now);
  sendAfterPersist(core, from, { kind: 'voteReply', trial, term: core.term, granted: true });
}

/** Handles a reply to a vote or pre-vote request. */
export function onVoteReply(
  core: ReplicaCore,
  from: MemberId,
  reply: VoteReply,
  now: Milliseconds,
): void {
  if (!reply.granted) {
    if (reply.term <= core.term) return;
    becomeFollower(core, null);
    enterTerm(core, reply.term);
    return;
  }
  if (core.role.kind !== 'candidate' || core.role.isPreVote !== reply.trial) return;
  if (reply.term !== core.term + (reply.trial ? 1 : 0)) return;
  core.role.grantedVotes.add(from);
  tallyVotes(core, now);
}
