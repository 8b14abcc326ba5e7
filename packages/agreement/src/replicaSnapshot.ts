import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { MemberId, Membership } from './groupMembership.js';
import type { GroupSnapshot } from './logEntry.js';
import type { Install } from './replicaMessage.js';
import {
  committedMembership,
  persist,
  sendNow,
  sendWhenStored,
  type LeaderRole,
  type ReplicaCore,
} from './replicaState.js';

/** Index of the first snapshot of every group. */
const FOUNDING_INDEX = 1;

/** The replicated state after the last applied entry. */
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

/** Stores a snapshot and drops old entries when enough were applied since the last. */
export function compactLog(core: ReplicaCore): void {
  if (core.groupId === null) return;
  if (core.appliedIndex - core.snapshotIndex < core.timing.entriesPerSnapshot) return;
  persistSnapshot(core, takeSnapshot(core, core.groupId));
  core.log.compactTo(core.appliedIndex - core.timing.entriesKept);
}

/** Tells whether a snapshot is on its way to a member. */
export function isSnapshotPending(
  core: ReplicaCore,
  sentAt: Milliseconds | null,
  now: Milliseconds,
): boolean {
  return sentAt !== null && now - sentAt < core.timing.snapshotRetryMilliseconds;
}

/** Sends a member the whole state, unless a snapshot is on its way to it. */
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
  sendNow(core, to, {
    kind: 'install',
    term: core.term,
    snapshot,
    round: role.round,
    sentAt: now,
  });
}

function adoptSnapshot(core: ReplicaCore, snapshot: GroupSnapshot): void {
  core.groupId = snapshot.groupId;
  const { index, membership } = snapshot;
  if (core.log.termAt(index) === snapshot.term) {
    core.log.compactTo(index);
    const later = core.memberships.filter((record) => record.index > index);
    core.memberships = [{ index, membership }, ...later];
  } else {
    core.log.reset(snapshot);
    core.memberships = [{ index, membership }];
    core.stableIndex = 0;
    for (const item of core.unstable) item.lastIndex = 0;
  }
  core.state.restore(snapshot.data);
  core.commitIndex = index;
  core.appliedIndex = index;
  persistSnapshot(core, snapshot);
  core.effects.push({ kind: 'applied', index });
}

/** Takes the leader's snapshot if it is ahead of what this replica has committed. */
export function onInstall(core: ReplicaCore, from: MemberId, message: Install): void {
  const { snapshot, term, round, sentAt } = message;
  if (snapshot.index > core.commitIndex) adoptSnapshot(core, snapshot);
  const index = snapshot.index;
  sendWhenStored(core, from, {
    kind: 'appendReply',
    term,
    accepted: true,
    index,
    round,
    sentAt,
  });
}

/** Makes a blank replica a voter of a new group. */
export function adoptFounding(core: ReplicaCore, groupId: string, membership: Membership): void {
  adoptSnapshot(core, {
    groupId,
    index: FOUNDING_INDEX,
    term: 0,
    membership,
    data: core.state.snapshot(),
  });
}
