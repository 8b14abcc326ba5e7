import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { allMembers, isVoter, type MemberId, type Membership } from './groupMembership.js';
import { canFormRegularQuorum } from './quorumRule.js';
import { confirmedAt } from './replicaConfirmation.js';
import { createReplicaCore, type ReplicaOptions } from './replicaCore.js';
import { dispatch } from './replicaDispatch.js';
import { becomeFollower, addOwnVote, startPreVote } from './replicaElection.js';
import type { ReplicaEffect } from './replicaEffect.js';
import { requestJoin, advanceMembershipChange } from './replicaMembership.js';
import type { ReplicaMessage } from './replicaMessage.js';
import { answerQueries, hasLostQuorum, onQuery } from './replicaQuery.js';
import {
  advanceCommit,
  appendLeaderEntry,
  broadcast,
  rejectProposal,
  sendAppend,
} from './replicaReplication.js';
import { resign } from './replicaResignation.js';
import { formNewGroup } from './replicaSnapshot.js';
import {
  onPersisted,
  currentMembership,
  isSelfVoter,
  quorumView,
  resetElectionDeadline,
  type ReplicaCore,
} from './replicaState.js';

/** State of a replica and its group as that replica knows it. */
export interface ReplicaStatus {
  readonly role: 'unformed' | 'learner' | 'follower' | 'candidate' | 'leader';
  readonly groupId: string | null;
  readonly term: number;
  readonly lastIndex: number;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  readonly leader: MemberId | null;
  readonly membership: Membership;
}

/**
 * A replica of a quorum group.
 *
 * @remarks
 * Does no I/O and reads no clock: methods that change the replica take the current time and return
 * the effects that the host must perform in order.
 */
export interface Replica {
  tick(now: Milliseconds): readonly ReplicaEffect[];
  receive(message: ReplicaMessage, now: Milliseconds): readonly ReplicaEffect[];
  /** Reports that all persist effects up to and including a sequence number are stored. */
  persisted(sequence: number, now: Milliseconds): readonly ReplicaEffect[];
  /**
   * Proposes a command under a request identifier chosen by the host; an `answer` effect follows.
   *
   * @remarks
   * The failures `NotLeader`, `GroupNotFormed` and `LedgerUnreachable` mean that the command was
   * not proposed; `QuorumUnreachable` means that it may still be committed.
   */
  propose(requestId: number, command: unknown, now: Milliseconds): readonly ReplicaEffect[];
  /** Linearizable read: the answer reflects everything committed before the call. */
  query(requestId: number, query: unknown, now: Milliseconds): readonly ReplicaEffect[];
  /** Announces that the replica stops; it takes no further part in its group. */
  resign(): readonly ReplicaEffect[];
  /** Makes a replica without a group a voter of a new group; has no effect on other replicas. */
  formGroup(groupId: string, membership: Membership, now: Milliseconds): readonly ReplicaEffect[];
  /** Answers from the committed state of this replica only; the answer may be stale. */
  peek(query: unknown): unknown;
  status(): ReplicaStatus;
  /** Time since this replica was last confirmed to have applied all that was committed by then. */
  confirmedAge(now: Milliseconds): Milliseconds;
}

function knownLeader(core: ReplicaCore): MemberId | null {
  if (core.role.kind === 'leader') return core.self.id;
  return core.role.kind === 'follower' ? core.role.leader : null;
}

function statusRole(core: ReplicaCore): ReplicaStatus['role'] {
  if (core.groupId === null) return 'unformed';
  return isSelfVoter(core) ? core.role.kind : 'learner';
}

function tickLeader(core: ReplicaCore, now: Milliseconds): void {
  const { role } = core;
  if (role.kind !== 'leader') return;
  // Kept, since the applied state stays as new when this replica no longer leads.
  core.confirmedAt = confirmedAt(core, now);
  if (hasLostQuorum(core, role, now)) {
    becomeFollower(core, null);
    resetElectionDeadline(core, now);
    return;
  }
  // If members were superseded since the last reply, the remaining supporters may be a quorum.
  advanceCommit(core, role);
  answerQueries(core, role);
  advanceMembershipChange(core, role, now);
  const isHeartbeatDue = now - role.lastBroadcastAt >= core.timing.heartbeatMilliseconds;
  if (isHeartbeatDue) broadcast(core, role, now);
}

function tickNonLeader(core: ReplicaCore, now: Milliseconds): void {
  const isElectionDue = now >= core.electionDeadline;
  if (core.groupId === null) {
    requestJoin(core, now);
    return;
  }
  if (!isElectionDue) return;
  // The join request of a learner without a leader announces that its earlier incarnation ended.
  if (!isSelfVoter(core)) requestJoin(core, now);
  else {
    startPreVote(core, now);
    // The group may have removed this replica while it was unreachable.
    if (core.repair !== null) requestJoin(core, now);
  }
}

function propose(core: ReplicaCore, requestId: number, command: unknown, now: Milliseconds): void {
  const { role } = core;
  if (core.groupId === null) {
    rejectProposal(core, requestId, ResultCode.GroupNotFormed);
    return;
  }
  if (role.kind !== 'leader') {
    rejectProposal(core, requestId, ResultCode.NotLeader);
    return;
  }
  // Without a regular quorum, a command would not reach both a majority and a durable voter.
  if (!canFormRegularQuorum(quorumView(core))) {
    rejectProposal(core, requestId, ResultCode.LedgerUnreachable);
    return;
  }
  role.pendingProposals.set(appendLeaderEntry(core, { kind: 'command', command }), requestId);
  for (const member of allMembers(currentMembership(core))) {
    if (member.id !== core.self.id) sendAppend(core, role, member.id, now);
  }
}

/** Creates a replica; without stored state it waits until it forms or joins a group. */
export function createReplica(options: ReplicaOptions): Replica {
  const core = createReplicaCore(options);
  const collectEffects = (step: () => void): readonly ReplicaEffect[] => {
    step();
    const { effects } = core;
    core.effects = [];
    return effects;
  };
  return {
    tick: (now) =>
      collectEffects(() => {
        if (core.hasResigned) return;
        if (core.role.kind === 'leader') tickLeader(core, now);
        else tickNonLeader(core, now);
      }),
    receive: (message, now) =>
      collectEffects(() => {
        if (!core.hasResigned) dispatch(core, message, now);
      }),
    persisted: (sequence, now) =>
      collectEffects(() => {
        if (core.hasResigned) return;
        onPersisted(core, sequence);
        addOwnVote(core, now);
        if (core.role.kind !== 'leader') return;
        advanceCommit(core, core.role);
        answerQueries(core, core.role);
        advanceMembershipChange(core, core.role, now);
      }),
    propose: (requestId, command, now) =>
      collectEffects(() => {
        propose(core, requestId, command, now);
      }),
    query: (requestId, query, now) =>
      collectEffects(() => {
        onQuery(core, requestId, query, now);
      }),
    resign: () =>
      collectEffects(() => {
        resign(core);
      }),
    formGroup: (groupId, membership, now) =>
      collectEffects(() => {
        if (core.groupId !== null || !isVoter(membership, core.self.id)) return;
        formNewGroup(core, groupId, membership);
        // A new group has no leader, so there is no need to wait for the election timeout.
        core.electionDeadline = now + core.random.next() * core.timing.heartbeatMilliseconds;
      }),
    confirmedAge: (now) => now - confirmedAt(core, now),
    peek: (query) => core.state.query(query),
    status: () => ({
      role: statusRole(core),
      groupId: core.groupId,
      term: core.term,
      lastIndex: core.log.last.index,
      commitIndex: core.commitIndex,
      appliedIndex: core.appliedIndex,
      leader: knownLeader(core),
      membership: currentMembership(core),
    }),
  };
}
