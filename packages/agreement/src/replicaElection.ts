import { failure } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { allMembers, type MemberId } from './groupMembership.js';
import { isQuorum } from './quorumRule.js';
import { appendOwn, broadcast, newProgress } from './replicaReplication.js';
import type { VoteReply, VoteRequest } from './replicaMessage.js';
import {
  answer,
  currentMembership,
  isVoterItself,
  persist,
  quorumView,
  resetElectionDeadline,
  sendNow,
  sendWhenStored,
  type LeaderRole,
  type ReplicaCore,
} from './replicaState.js';

/** Gives up a part and follows; what a leader had not finished gets an unknown outcome. */
export function becomeFollower(core: ReplicaCore, leader: MemberId | null): void {
  const former = core.role;
  core.role = { kind: 'follower', leader };
  if (former.kind !== 'leader') return;
  for (const requestId of former.proposals.values()) {
    answer(core, requestId, failure(ResultCode.QuorumUnreachable));
  }
  for (const waiting of former.queries) {
    answer(core, waiting.requestId, failure(ResultCode.NotLeader));
  }
}

/** Moves to a later term without a vote in it yet. */
export function enterTerm(core: ReplicaCore, term: number): void {
  core.term = term;
  core.votedFor = null;
  persistVote(core);
}

/**
 * Stores term and vote.
 *
 * @remarks
 * A blank replica stores nothing yet: if it ends, it comes back as another member, so it cannot
 * vote twice. Its term and vote are stored with its first snapshot.
 */
function persistVote(core: ReplicaCore): void {
  if (core.groupId === null) return;
  persist(core, [{ kind: 'vote', term: core.term, votedFor: core.votedFor }]);
}

function requestVotes(core: ReplicaCore, trial: boolean, term: number): void {
  const { index, term: lastTerm } = core.log.last;
  const request: VoteRequest = { kind: 'voteRequest', trial, term, lastIndex: index, lastTerm };
  for (const voter of currentMembership(core).voters) {
    if (voter.id === core.self.id) continue;
    if (trial) sendNow(core, voter.id, request);
    else sendWhenStored(core, voter.id, request);
  }
}

/** Asks whether an election would succeed, without disturbing a leader that others hear. */
export function startTrial(core: ReplicaCore, now: Milliseconds): void {
  resetElectionDeadline(core, now);
  if (!isVoterItself(core)) return;
  core.role = { kind: 'candidate', trial: true, grants: new Set([core.self.id]) };
  requestVotes(core, true, core.term + 1);
  countGrants(core, now);
}

function startElection(core: ReplicaCore, now: Milliseconds): void {
  core.term += 1;
  core.votedFor = core.self.id;
  core.role = { kind: 'candidate', trial: false, grants: new Set() };
  persistVote(core);
  resetElectionDeadline(core, now);
  requestVotes(core, false, core.term);
}

function becomeLeader(core: ReplicaCore, now: Milliseconds): void {
  const role: LeaderRole = {
    kind: 'leader',
    since: now,
    firstIndex: core.log.last.index + 1,
    progress: new Map(),
    proposals: new Map(),
    queries: [],
    round: 0,
    lastBroadcastAt: now,
  };
  for (const member of allMembers(currentMembership(core))) {
    role.progress.set(member.id, newProgress(core, now));
  }
  core.role = role;
  appendOwn(core, { kind: 'empty' });
  broadcast(core, role, now);
}

function countGrants(core: ReplicaCore, now: Milliseconds): void {
  if (core.role.kind !== 'candidate') return;
  if (!isQuorum(quorumView(core), core.role.grants)) return;
  if (core.role.trial) startElection(core, now);
  else becomeLeader(core, now);
}

/** Counts the candidate's own vote once it is stored. */
export function countOwnVote(core: ReplicaCore, now: Milliseconds): void {
  if (core.role.kind !== 'candidate' || core.role.trial) return;
  if (core.persistedSequence !== core.persistSequence) return;
  core.role.grants.add(core.self.id);
  countGrants(core, now);
}

function isUpToDate(core: ReplicaCore, request: VoteRequest): boolean {
  const { index, term } = core.log.last;
  if (request.lastTerm !== term) return request.lastTerm > term;
  return request.lastIndex >= index;
}

/** Tells whether this replica must not help to elect another leader yet. */
function isLoyal(core: ReplicaCore, now: Milliseconds): boolean {
  return core.role.kind === 'leader' || now < core.loyalUntil;
}

/** Decides on a request for a vote. */
export function onVoteRequest(
  core: ReplicaCore,
  from: MemberId,
  request: VoteRequest,
  now: Milliseconds,
): void {
  const { trial } = request;
  const refuse = (): void => {
    sendWhenStored(core, from, { kind: 'voteReply', trial, term: core.term, granted: false });
  };
  if (request.term < core.term || isLoyal(core, now)) {
    refuse();
    return;
  }
  if (trial) {
    const granted = request.term > core.term && isUpToDate(core, request);
    const term = granted ? request.term : core.term;
    sendWhenStored(core, from, { kind: 'voteReply', trial, term, granted });
    return;
  }
  if (request.term > core.term) {
    becomeFollower(core, null);
    enterTerm(core, request.term);
  }
  const free = core.votedFor === null || core.votedFor === from;
  if (!free || !isUpToDate(core, request)) {
    refuse();
    return;
  }
  if (core.votedFor === null) {
    core.votedFor = from;
    persistVote(core);
  }
  resetElectionDeadline(core, now);
  sendWhenStored(core, from, { kind: 'voteReply', trial, term: core.term, granted: true });
}

/** Counts a vote. */
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
  if (core.role.kind !== 'candidate' || core.role.trial !== reply.trial) return;
  if (reply.term !== core.term + (reply.trial ? 1 : 0)) return;
  core.role.grants.add(from);
  countGrants(core, now);
}
