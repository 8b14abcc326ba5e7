import { failure, success } from '@burdockrail/common/outcome.js';
import type { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { allMembers, type MemberId } from './groupMembership.js';
import type { LogEntry, LogPayload } from './logEntry.js';
import { highestQuorumValue } from './quorumRule.js';
import type { AppendEntries, AppendReply } from './replicaMessage.js';
import { leaderConfirmation, sendReply } from './replicaConfirmation.js';
import { compactLog, isSnapshotPending, sendSnapshot } from './replicaSnapshot.js';
import {
  addMembership,
  answer,
  committedMembership,
  currentMembership,
  dropMembershipsFrom,
  invalidatePersistedFrom,
  persist,
  pruneMemberships,
  quorumView,
  sendImmediately,
  type LeaderRole,
  type MemberProgress,
  type ReplicaCore,
} from './replicaState.js';

const MAXIMUM_ENTRIES_PER_MESSAGE = 128;

/** Unacknowledged entries after which a member receives only heartbeats. */
const MAXIMUM_ENTRIES_IN_FLIGHT = 1_024;

/** Initial replication progress that a leader assumes for a member. */
export function newProgress(
  core: ReplicaCore,
  now: Milliseconds,
  trackedSince = now,
): MemberProgress {
  return {
    matchIndex: 0,
    nextIndex: core.log.last.index + 1,
    acknowledgedSentAt: Number.NEGATIVE_INFINITY,
    lastReply: null,
    acknowledgedRound: 0,
    lastSentAt: now,
    snapshotSentAt: null,
    trackedSince,
  };
}

/** Appends an entry to the leader's log and returns its index. */
export function appendLeaderEntry(core: ReplicaCore, payload: LogPayload): number {
  const index = core.log.last.index + 1;
  const entry: LogEntry = { index, term: core.term, payload };
  core.log.replaceFrom([entry]);
  if (payload.kind === 'membership') {
    addMembership(core, { index, membership: payload.membership });
  }
  persist(core, [{ kind: 'entries', entries: [entry] }]);
  return index;
}

/** Sends a member the next entries, a snapshot if those are truncated, or a heartbeat. */
export function sendAppend(
  core: ReplicaCore,
  role: LeaderRole,
  to: MemberId,
  now: Milliseconds,
): void {
  const progress = role.progress.get(to);
  if (progress === undefined) return;
  progress.lastSentAt = now;
  const previousIndex = progress.nextIndex - 1;
  const previousTerm = core.log.termAt(previousIndex);
  if (previousTerm === undefined) {
    sendSnapshot(core, role, to, now);
    return;
  }
  const inFlight = previousIndex - progress.matchIndex;
  const hasRoom = progress.matchIndex === 0 || inFlight < MAXIMUM_ENTRIES_IN_FLIGHT;
  const limit = hasRoom ? MAXIMUM_ENTRIES_PER_MESSAGE : 0;
  const entries = core.log.entriesFrom(progress.nextIndex, limit);
  progress.nextIndex += entries.length;
  sendImmediately(core, to, {
    kind: 'append',
    term: core.term,
    previousIndex,
    previousTerm,
    entries,
    commitIndex: core.commitIndex,
    round: role.round,
    sentAt: now,
    ...leaderConfirmation(core, role, to, now),
  });
}

/** Starts a new round and sends entries or a heartbeat to every other member. */
export function broadcast(core: ReplicaCore, role: LeaderRole, now: Milliseconds): void {
  role.round += 1;
  role.lastBroadcastAt = now;
  for (const member of allMembers(currentMembership(core))) {
    if (member.id !== core.self.id) sendAppend(core, role, member.id, now);
  }
}

function matchIndexOf(core: ReplicaCore, role: LeaderRole, id: MemberId): number {
  if (id === core.self.id) return core.persistedIndex;
  return role.progress.get(id)?.matchIndex ?? 0;
}

/** Commits the entries that a quorum has persisted. */
export function advanceCommit(core: ReplicaCore, role: LeaderRole): void {
  const quorumMatchIndex =
    highestQuorumValue(quorumView(core), (id) => matchIndexOf(core, role, id)) ?? 0;
  if (quorumMatchIndex <= core.commitIndex || core.log.termAt(quorumMatchIndex) !== core.term)
    return;
  setCommitIndex(core, quorumMatchIndex);
}

/** Advances the commit index and applies the newly committed entries. */
export function setCommitIndex(core: ReplicaCore, index: number): void {
  const previousMembership = committedMembership(core);
  core.commitIndex = index;
  if (committedMembership(core) !== previousMembership)
    persist(core, [{ kind: 'committed', index }]);
  applyCommitted(core);
  pruneMemberships(core);
  compactLog(core);
}

function applyCommitted(core: ReplicaCore): void {
  const start = core.appliedIndex;
  while (core.appliedIndex < core.commitIndex) {
    const entry = core.log.entryAt(core.appliedIndex + 1);
    if (entry === undefined) break;
    core.appliedIndex = entry.index;
    applyEntry(core, entry);
  }
  if (core.appliedIndex > start) core.effects.push({ kind: 'applied', index: core.appliedIndex });
}

function applyEntry(core: ReplicaCore, entry: LogEntry): void {
  if (entry.payload.kind !== 'command') return;
  const { index, term } = entry;
  const result = core.state.apply(entry.payload.command, { index, term });
  if (core.role.kind !== 'leader') return;
  const requestId = core.role.pendingProposals.get(index);
  if (requestId === undefined) return;
  core.role.pendingProposals.delete(index);
  answer(core, requestId, success(result));
}

/** Appends the leader's entries, replacing the log from the first entry that differs. */
function appendReceivedEntries(core: ReplicaCore, entries: readonly LogEntry[]): void {
  const firstNew = entries.findIndex((entry) => core.log.termAt(entry.index) !== entry.term);
  if (firstNew < 0) return;
  const added = entries.slice(firstNew);
  const start = added[0]?.index ?? 0;
  if (start <= core.commitIndex) throw new Error(`committed entry ${start} cannot be replaced`);
  if (start <= core.log.last.index) {
    invalidatePersistedFrom(core, start);
    dropMembershipsFrom(core, start);
  }
  core.log.replaceFrom(added);
  for (const { index, payload } of added) {
    if (payload.kind === 'membership') {
      addMembership(core, { index, membership: payload.membership });
    }
  }
  persist(core, [{ kind: 'entries', entries: added }]);
}

/** Handles entries or a heartbeat from the current leader. */
export function onAppend(
  core: ReplicaCore,
  from: MemberId,
  message: AppendEntries,
  now: Milliseconds,
): void {
  const { term, previousIndex } = message;
  const reply = (accepted: boolean, index: number): void => {
    sendReply(core, from, message, { term, accepted, index }, now);
  };
  if (core.groupId === null) {
    reply(false, 0);
    return;
  }
  // Entries up to the base of the log are committed, so they match the leader's.
  const skippedEntries = Math.max(0, core.log.base.index - previousIndex);
  const entries = message.entries.slice(skippedEntries);
  const start = Math.max(previousIndex, core.log.base.index);
  const matches = skippedEntries > 0 || core.log.termAt(previousIndex) === message.previousTerm;
  if (!matches) {
    reply(false, Math.min(core.log.last.index, previousIndex - 1));
    return;
  }
  appendReceivedEntries(core, entries);
  const lastMatchingIndex = start + entries.length;
  const committed = Math.min(message.commitIndex, lastMatchingIndex);
  if (committed > core.commitIndex) setCommitIndex(core, committed);
  reply(true, lastMatchingIndex);
}

/** Updates the replication progress of a member. */
export function onAppendReply(
  core: ReplicaCore,
  role: LeaderRole,
  from: MemberId,
  reply: AppendReply,
  now: Milliseconds,
): void {
  const progress = role.progress.get(from);
  if (progress === undefined) return;
  progress.acknowledgedRound = Math.max(progress.acknowledgedRound, reply.round);
  progress.acknowledgedSentAt = Math.max(progress.acknowledgedSentAt, reply.sentAt);
  progress.lastReply = reply.stamp;
  if (!reply.accepted) {
    // The rejection is stale: a later append has succeeded.
    if (reply.index < progress.matchIndex) return;
    if (isSnapshotPending(core, progress.snapshotSentAt, now)) return;
    progress.nextIndex = reply.index + 1;
    sendAppend(core, role, from, now);
    return;
  }
  progress.snapshotSentAt = null;
  progress.matchIndex = Math.max(progress.matchIndex, reply.index);
  progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
  advanceCommit(core, role);
  if (progress.nextIndex <= core.log.last.index) sendAppend(core, role, from, now);
}

/** Rejects a proposal that was not appended to the log. */
export function rejectProposal(core: ReplicaCore, requestId: number, code: ResultCode): void {
  answer(core, requestId, failure(code));
}
