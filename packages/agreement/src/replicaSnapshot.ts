import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { MemberId, Membership } from './groupMembership.js';
import type { GroupSnapshot } from './logEntry.js';
import { leaderConfirmation, sendReply } from './replicaConfirmation.js';
import type { InstallSnapshot } from './replicaMessage.js';
import {
  committedMembership,
  persist,
  sendImmediately,
  type LeaderRole,
  type ReplicaCore,
} from './replicaState.js';

/** Log index of the snapshot with which every group starts. */
const INITIAL_SNAPSHOT_INDEX = 1;

/** Snapshot as of the last applied entry. */
function takeSnapshot(core: ReplicaCore, groupId: string): GroupSnapshot {
  return {
    groupId,
    index: core.appliedIndex,
    term: core.log.termAt(core.appliedIndex) ?? 0,
    membership: committedMembership(core),
    data: core.state.snapshot(),
  };
}

function persistSnapshot(core: ReplicaCore, snapshot: GroupSnapshot): void {
  core.snapshotIndex = snapshot.index;
  const entries = core.log.entriesFrom(snapshot.index + 1, Number.MAX_SAFE_INTEGER);
  const { term, votedFor } = core;
  persist(core, [{ kind: 'snapshot', snapshot, entries, term, votedFor }]);
}

/** Stores a snapshot and truncates the log once enough entries were applied since the last one. */
export function compactLog(core: ReplicaCore): void {
  if (core.groupId === null) return;
  if (core.appliedIndex - core.snapshotIndex < core.timing.entriesPerSnapshot) return;
  persistSnapshot(core, takeSnapshot(core, core.groupId));
  core.log.compactTo(core.appliedIndex - core.timing.retainedEntries);
}

/** Tells whether a snapshot sent to a member awaits a reply and is not due to be resent. */
export function isSnapshotPending(
  core: ReplicaCore,
  sentAt: Milliseconds | null,
  now: Milliseconds,
): boolean {
  return sentAt !== null && now - sentAt < core.timing.snapshotRetryMilliseconds;
}

/** Sends a member a snapshot, unless one is pending. */
export function sendSnapshot(
  core: ReplicaCore,
  role: LeaderRole,
  to: MemberId,
  now: Milliseconds,
): void {
  const progress = role.progress.get(to);
  if (progress === undefined || core.groupId === null) return;
  if (isSnapshotPending(core, progress.snapshotSentAt, now)) return;
  const snapshot = takeSnapshot(core, core.groupId);
  progress.snapshotSentAt = now;
  progress.nextIndex = snapshot.index + 1;
  sendImmediately(core, to, {
    kind: 'install',
    term: core.term,
    snapshot,
    round: role.round,
    sentAt: now,
    ...leaderConfirmation(core, role, to, now),
  });
}

function installSnapshot(core: ReplicaCore, snapshot: GroupSnapshot): void {
  core.groupId = snapshot.groupId;
  const { index, membership } = snapshot;
  if (core.log.termAt(index) === snapshot.term) {
    core.log.compactTo(index);
    const later = core.memberships.filter((record) => record.index > index);
    core.memberships = [{ index, membership }, ...later];
  } else {
    core.log.reset(snapshot);
    core.memberships = [{ index, membership }];
    core.persistedIndex = 0;
    for (const item of core.pendingPersists) item.lastIndex = 0;
  }
  core.state.restore(snapshot.data);
  core.commitIndex = index;
  core.appliedIndex = index;
  persistSnapshot(core, snapshot);
  core.effects.push({ kind: 'applied', index });
}

/** Installs the leader's snapshot if it is ahead of this replica's commit index. */
export function onInstallSnapshot(
  core: ReplicaCore,
  from: MemberId,
  message: InstallSnapshot,
  now: Milliseconds,
): void {
  const { snapshot, term } = message;
  if (snapshot.index > core.commitIndex) installSnapshot(core, snapshot);
  sendReply(core, from, message, { term, accepted: true, index: snapshot.index }, now);
}

/** Makes a replica without a group a voter of a new group. */
export function formNewGroup(core: ReplicaCore, groupId: string, membership: Membership): void {
  installSnapshot(core, {
    groupId,
    index: INITIAL_SNAPSHOT_INDEX,
    term: 0,
    membership,
    data: core.state.snapshot(),
  });
}
