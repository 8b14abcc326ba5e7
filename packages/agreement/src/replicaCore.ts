import type { SeededRandom } from '@burdockrail/common/seededRandom.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { Member } from './groupMembership.js';
import type { StoredReplica } from './replicaEffect.js';
import { createReplicaLog } from './replicaLog.js';
import { setCommitIndex } from './replicaReplication.js';
import {
  addMembership,
  resetElectionDeadline,
  type AnyReplicatedState,
  type ReplicaCore,
  type SelfRepair,
} from './replicaState.js';
import type { ReplicaTiming } from './replicaTiming.js';

/** Options of {@link createReplica}. */
export interface ReplicaOptions {
  readonly self: Member;
  /**
   * Slots whose replicas may belong to the group.
   *
   * @remarks
   * With `repair` these are only the slots that a replica asks to be let in; the list may then
   * grow while the replica runs.
   */
  readonly slots: readonly string[];
  /** Lets the group take in replicas of unlisted slots and drop silent ones. */
  readonly repair?: SelfRepair;
  readonly state: AnyReplicatedState;
  readonly timing: ReplicaTiming;
  readonly random: SeededRandom;
  /** What the replica had stored; `null` for a blank one. */
  readonly stored: StoredReplica | null;
  readonly now: Milliseconds;
}

const unfoundedPosition = { index: 0, term: 0 };

/** Creates the state of a replica from what it had stored. */
export function createReplicaCore(options: ReplicaOptions): ReplicaCore {
  const { stored, now } = options;
  const start = stored?.snapshot ?? unfoundedPosition;
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
    stableIndex: log.last.index,
    memberships: [],
    role: { kind: 'follower', leader: null },
    electionDeadline: now,
    // A replica that restarts may have just promised a leader with a lease not to elect another.
    loyalUntil: options.timing.answersUnderLease
      ? now + options.timing.electionMilliseconds
      : Number.NEGATIVE_INFINITY,
    currentAt: Number.NEGATIVE_INFINITY,
    gone: new Set(),
    joiners: new Map(),
    nextJoinAt: now,
    persistSequence: 0,
    persistedSequence: 0,
    unstable: [],
    held: [],
    effects: [],
  };
  resetElectionDeadline(core, now);
  if (stored !== null) {
    restoreStored(core, stored);
    standSoonAfterRestart(core, now);
  }
  return core;
}

/** Part of the election time after which a restarted replica asks whether an election would succeed. */
const RESTART_SHARE = 0.2;

/**
 * Chooses an early first trial where no leases are kept.
 *
 * @remarks
 * After a power cut of all members nobody leads, and waiting for the whole election time would only
 * add to the outage. Members that hear a leader refuse the trial.
 */
function standSoonAfterRestart(core: ReplicaCore, now: Milliseconds): void {
  const { answersUnderLease, electionMilliseconds } = core.timing;
  if (answersUnderLease) return;
  core.electionDeadline = now + electionMilliseconds * RESTART_SHARE * (1 + core.random.next());
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
