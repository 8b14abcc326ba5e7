import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { allMembers, isVoter, type MemberId, type Membership } from './groupMembership.js';
import { canFormRegularQuorum } from './quorumRule.js';
import { createReplicaCore, type ReplicaOptions } from './replicaCore.js';
import { dispatch } from './replicaDispatch.js';
import { becomeFollower, countOwnVote, startTrial } from './replicaElection.js';
import type { ReplicaEffect } from './replicaEffect.js';
import { askToJoin, driveMembership } from './replicaMembership.js';
import type { ReplicaMessage } from './replicaMessage.js';
import { answerQueries, confirmedAt, hasLostQuorum, onQuery } from './replicaQuery.js';
import { advanceCommit, appendOwn, broadcast, refuse, sendAppend } from './replicaReplication.js';
import { adoptFounding } from './replicaSnapshot.js';
import {
  acknowledgePersisted,
  currentMembership,
  isVoterItself,
  quorumView,
  resetElectionDeadline,
  type ReplicaCore,
} from './replicaState.js';

/** One replica's view of its group. */
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
 * Has no clock, socket or disk: every method takes the present time and returns the effects that
 * the host carries out in order.
 */
export interface Replica {
  tick(now: Milliseconds): readonly ReplicaEffect[];
  receive(message: ReplicaMessage, now: Milliseconds): readonly ReplicaEffect[];
  /** Reports that all persist effects up to a sequence are stored. */
  persisted(sequence: number, now: Milliseconds): readonly ReplicaEffect[];
  /**
   * Proposes a command under an identifier of the host's choice; an `answer` effect follows.
   *
   * @remarks
   * The failures `NotLeader`, `GroupNotFormed` and `LedgerUnreachable` mean that the command was
   * not proposed; `QuorumUnreachable` means that it may still be committed.
   */
  propose(requestId: number, command: unknown, now: Milliseconds): readonly ReplicaEffect[];
  /** Asks for an answer that reflects everything committed before the call. */
  query(requestId: number, query: unknown, now: Milliseconds): readonly ReplicaEffect[];
  /** Makes a blank replica a voter of a new group; has no effect on any other. */
  found(groupId: string, membership: Membership, now: Milliseconds): readonly ReplicaEffect[];
  /** Answers from the committed state of this replica alone, which may be out of date. */
  peek(query: unknown): unknown;
  status(): ReplicaStatus;
  /** Time since this replica held all that a leader had committed, in milliseconds. */
  confirmedAge(now: Milliseconds): Milliseconds;
}

function leaderOf(core: ReplicaCore): MemberId | null {
  if (core.role.kind === 'leader') return core.self.id;
  return core.role.kind === 'follower' ? core.role.leader : null;
}

function statusRole(core: ReplicaCore): ReplicaStatus['role'] {
  if (core.groupId === null) return 'unformed';
  return isVoterItself(core) ? core.role.kind : 'learner';
}

function tickLeader(core: ReplicaCore, now: Milliseconds): void {
  const { role } = core;
  if (role.kind !== 'leader') return;
  if (hasLostQuorum(core, role, now)) {
    becomeFollower(core, null);
    resetElectionDeadline(core, now);
    return;
  }
  // Members that ended since the last answer may have made a quorum of those that are left.
  advanceCommit(core, role);
  answerQueries(core, role);
  driveMembership(core, role, now);
  const isDue = now - role.lastBroadcastAt >= core.timing.heartbeatMilliseconds;
  if (isDue) broadcast(core, role, now);
}

function tickOther(core: ReplicaCore, now: Milliseconds): void {
  const isSilent = now >= core.electionDeadline;
  if (core.groupId === null) {
    askToJoin(core, now);
    return;
  }
  if (!isSilent) return;
  // A learner that has lost its leader shows that its former incarnation ended.
  if (!isVoterItself(core)) askToJoin(core, now);
  else {
    startTrial(core, now);
    // The group may have given this replica's place away while it was out of reach.
    if (core.repair !== null) askToJoin(core, now);
  }
}

function propose(core: ReplicaCore, requestId: number, command: unknown, now: Milliseconds): void {
  const { role } = core;
  if (core.groupId === null) {
    refuse(core, requestId, ResultCode.GroupNotFormed);
    return;
  }
  if (role.kind !== 'leader') {
    refuse(core, requestId, ResultCode.NotLeader);
    return;
  }
  // Commands wait for the repair of the group, so that each is stored on a majority and a disk.
  if (!canFormRegularQuorum(quorumView(core))) {
    refuse(core, requestId, ResultCode.LedgerUnreachable);
    return;
  }
  role.proposals.set(appendOwn(core, { kind: 'command', command }), requestId);
  for (const member of allMembers(currentMembership(core))) {
    if (member.id !== core.self.id) sendAppend(core, role, member.id, now);
  }
}

/** Creates a replica; a blank one waits until it is founded or let in. */
export function createReplica(options: ReplicaOptions): Replica {
  const core = createReplicaCore(options);
  const run = (step: () => void): readonly ReplicaEffect[] => {
    step();
    const { effects } = core;
    core.effects = [];
    return effects;
  };
  return {
    tick: (now) =>
      run(() => {
        if (core.role.kind === 'leader') tickLeader(core, now);
        else tickOther(core, now);
      }),
    receive: (message, now) =>
      run(() => {
        dispatch(core, message, now);
      }),
    persisted: (sequence, now) =>
      run(() => {
        acknowledgePersisted(core, sequence);
        countOwnVote(core, now);
        if (core.role.kind !== 'leader') return;
        advanceCommit(core, core.role);
        answerQueries(core, core.role);
        driveMembership(core, core.role, now);
      }),
    propose: (requestId, command, now) =>
      run(() => {
        propose(core, requestId, command, now);
      }),
    query: (requestId, query, now) =>
      run(() => {
        onQuery(core, requestId, query, now);
      }),
    found: (groupId, membership, now) =>
      run(() => {
        if (core.groupId !== null || !isVoter(membership, core.self.id)) return;
        adoptFounding(core, groupId, membership);
        // Nobody leads a new group, so there is no leader to wait for.
        core.electionDeadline = now + core.random.next() * core.timing.heartbeatMilliseconds;
      }),
    confirmedAge: (now) => {
      const { role } = core;
      return now - (role.kind === 'leader' ? confirmedAt(core, role, now) : core.currentAt);
    },
    peek: (query) => core.state.query(query),
    status: () => ({
      role: statusRole(core),
      groupId: core.groupId,
      term: core.term,
      lastIndex: core.log.last.index,
      commitIndex: core.commitIndex,
      appliedIndex: core.appliedIndex,
      leader: leaderOf(core),
      membership: currentMembership(core),
    }),
  };
}
