import type { SeededRandom } from '@burdockrail/common/seededRandom.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { Member } from './groupMembership.js';
import type { StoredReplica } from './replicaEffect.js';
import { createReplicaLog } from './replicaLog.js';
import { setCommitIndex } from './replicaReplication.js';
import {
  addMembership,
  resetElectionDeadline,
  setEarlyElectionDeadline,
  type AnyReplicatedState,
  type ReplicaCore,
  type MembershipRepair,
} from './replicaState.js';
import type { ReplicaTiming } from './replicaTiming.js';

/** Options of {@link createReplica}. */
export interface ReplicaOptions {
  readonly self: Member;
  /**
   * Slots whose replicas may belong to the group.
   *
   * @remarks
   * With `repair` these are only the slots to which the replica sends join requests, and the list
   * may grow while the replica runs.
   */
  readonly slots: readonly string[];
  /** Lets the group add replicas of unlisted slots and remove unresponsive ones. */
  readonly repair?: MembershipRepair;
  readonly state: AnyReplicatedState;
  readonly timing: ReplicaTiming;
  readonly random: SeededRandom;
  /** Stored state of the replica; `null` if it has none. */
  readonly stored: StoredReplica | null;
  readonly now: Milliseconds;
}

const emptyLogPosition = { index: 0, term: 0 };

/** Creates the mutable state of a replica from its stored state. */
export function createReplicaCore(options: ReplicaOptions): ReplicaCore {
  const { stored, now } = options;
  const start = stored?.snapshot ?? emptyLogPosition;
  const log = createReplicaLog(start, stored?.entries ?? []);
  const core: ReplicaCore = {
    ...options,
    repair: options.repair ?? null,
    log,
    groupId: stored?.snapshot.groupId ?? null,
    term: stored?.term ?? 0,
    votedFor: stored?.votedFor ?? null,
    commitIndex: start.index,
    appliedIndex: start.index,
    snapshotIndex: start.index,
    persistedIndex: log.last.index,
    memberships: [],
    role: { kind: 'follower', leader: null },
    electionDeadline: now,
    preVotesWithoutLeader: 0,
    // Before the restart the replica may have extended the lease of a leader.
    votesRefusedUntil: options.timing.usesLeaseReads
      ? now + options.timing.electionTimeoutMilliseconds
      : Number.NEGATIVE_INFINITY,
    run: options.random.next(),
    confirmedAt: Number.NEGATIVE_INFINITY,
    superseded: new Set(),
    resigned: new Set(),
    hasResigned: false,
    followedLeader: null,
    joinRequests: new Map(),
    nextJoinRequestAt: now,
    issuedPersistSequence: 0,
    completedPersistSequence: 0,
    pendingPersists: [],
    deferredEffects: [],
    effects: [],
  };
  resetElectionDeadline(core, now);
  if (stored !== null) {
    restoreStored(core, stored);
    setEarlyElectionDeadline(core, now);
  }
  return core;
}

function restoreStored(core: ReplicaCore, stored: StoredReplica): void {
  const { index, membership, data } = stored.snapshot;
  core.state.restore(data);
  addMembership(core, { index, membership });
  for (const entry of stored.entries) {
    if (entry.payload.kind !== 'membership') continue;
    addMembership(core, { index: entry.index, membership: entry.payload.membership });
  }
  const committed = Math.min(stored.commitIndex, core.log.last.index);
  if (committed > core.commitIndex) setCommitIndex(core, committed);
}
