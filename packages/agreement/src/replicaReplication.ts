import { failure, success } from '@burdockrail/common/outcome.js';
import type { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { allMembers, type MemberId } from './groupMembership.js';
import type { LogEntry, LogPayload } from './logEntry.js';
import { highestReached } from './quorumRule.js';
import type { Append, AppendReply } from './replicaMessage.js';
import { compactLog, isSnapshotPending, sendSnapshot } from './replicaSnapshot.js';
import {
  addMembership,
  answer,
  committedMembership,
  currentMembership,
  dropMembershipsFrom,
  markUnstableFrom,
  persist,
  pruneMemberships,
  quorumView,
  sendNow,
  sendWhenStored,
  type LeaderRole,
  type MemberProgress,
  type ReplicaCore,
} from './replicaState.js';

/** Most entries in one message. */
const ENTRIES_PER_MESSAGE = 128;

/** Most entries on their way to one member; a silent member gets heartbeats only. */
const ENTRIES_IN_FLIGHT = 1_024;

/** What a new leader assumes of a member. */
export function newProgress(core: ReplicaCore, now: Milliseconds): MemberProgress {
  return {
    matchIndex: 0,
    nextIndex: core.log.last.index + 1,
    answeredSentAt: Number.NEGATIVE_INFINITY,
    answeredRound: 0,
    lastSentAt: now,
    snapshotSentAt: null,
    since: now,
  };
}

/** Puts an entry of the leader at the end of its log and returns its index. */
export function appendOwn(core: ReplicaCore, payload: LogPayload): number {
  const index = core.log.last.index + 1;
  const entry: LogEntry = { index, term: core.term, payload };
  core.log.replaceFrom([entry]);
  if (payload.kind === 'membership') {
    addMembership(core, { index, membership: payload.membership });
  }
  persist(core, [{ kind: 'entries', entries: [entry] }]);
  return index;
}

/** Sends a member what it lacks, or a heartbeat. */
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
  const hasRoom = progress.matchIndex === 0 || inFlight < ENTRIES_IN_FLIGHT;
  const limit = hasRoom ? ENTRIES_PER_MESSAGE : 0;
  const entries = core.log.entriesFrom(progress.nextIndex, limit);
  progress.nextIndex += entries.length;
  sendNow(core, to, {
    kind: 'append',
    term: core.term,
    previousIndex,
    previousTerm,
    entries,
    commitIndex: core.commitIndex,
    round: role.round,
    sentAt: now,
  });
}

/** Sends every other member what it lacks in a new round. */
export function broadcast(core: ReplicaCore, role: LeaderRole, now: Milliseconds): void {
  role.round += 1;
  role.lastBroadcastAt = now;
  for (const member of allMembers(currentMembership(core))) {
    if (member.id !== core.self.id) sendAppend(core, role, member.id, now);
  }
}

function matchIndexOf(core: ReplicaCore, role: LeaderRole, id: MemberId): number {
  if (id === core.self.id) return core.stableIndex;
  return role.progress.get(id)?.matchIndex ?? 0;
}

/** Commits what a quorum has stored. */
export function advanceCommit(core: ReplicaCore, role: LeaderRole): void {
  const reached = highestReached(quorumView(core), (id) => matchIndexOf(core, role, id)) ?? 0;
  if (reached <= core.commitIndex || core.log.termAt(reached) !== core.term) return;
  setCommitIndex(core, reached);
}

/** Moves the commit index forward and applies what became committed. */
export function setCommitIndex(core: ReplicaCore, index: number): void {
  const before = committedMembership(core);
  core.commitIndex = index;
  if (committedMembership(core) !== before) persist(core, [{ kind: 'committed', index }]);
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
  const requestId = core.role.proposals.get(index);
  if (requestId === undefined) return;
  core.role.proposals.delete(index);
  answer(core, requestId, success(result));
}

/** Puts a leader's entries in place, from the first on that differs. */
function takeEntries(core: ReplicaCore, entries: readonly LogEntry[]): void {
  const firstNew = entries.findIndex((entry) => core.log.termAt(entry.index) !== entry.term);
  if (firstNew < 0) return;
  const added = entries.slice(firstNew);
  const from = added[0]?.index ?? 0;
  if (from <= core.commitIndex) throw new Error(`entry ${from} is committed and cannot change`);
  if (from <= core.log.last.index) {
    markUnstableFrom(core, from);
    dropMembershipsFrom(core, from);
  }
  core.log.replaceFrom(added);
  for (const { index, payload } of added) {
    if (payload.kind === 'membership') {
      addMembership(core, { index, membership: payload.membership });
    }
  }
  persist(core, [{ kind: 'entries', entries: added }]);
}

/** Takes entries or a heartbeat of the present leader. */
export function onAppend(core: ReplicaCore, from: MemberId, message: Append): void {
  const { term, round, sentAt, previousIndex } = message;
  const reply = (accepted: boolean, index: number): void => {
    sendWhenStored(core, from, { kind: 'appendReply', term, accepted, index, round, sentAt });
  };
  if (core.groupId === null) {
    reply(false, 0);
    return;
  }
  // Entries up to the base are committed, so they equal the leader's.
  const skipped = Math.max(0, core.log.base.index - previousIndex);
  const entries = message.entries.slice(skipped);
  const start = Math.max(previousIndex, core.log.base.index);
  const matches = skipped > 0 || core.log.termAt(previousIndex) === message.previousTerm;
  if (!matches) {
    reply(false, Math.min(core.log.last.index, previousIndex - 1));
    return;
  }
  takeEntries(core, entries);
  const lastKnown = start + entries.length;
  const committed = Math.min(message.commitIndex, lastKnown);
  if (committed > core.commitIndex) setCommitIndex(core, committed);
  reply(true, lastKnown);
}

/** Learns what a member has stored. */
export function onAppendReply(
  core: ReplicaCore,
  role: LeaderRole,
  from: MemberId,
  reply: AppendReply,
  now: Milliseconds,
): void {
  const progress = role.progress.get(from);
  if (progress === undefined) return;
  progress.answeredRound = Math.max(progress.answeredRound, reply.round);
  progress.answeredSentAt = Math.max(progress.answeredSentAt, reply.sentAt);
  if (!reply.accepted) {
    // A reply that was overtaken by a later success says nothing new.
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

/** Refuses a proposal that was surely not put into the log. */
export function refuse(core: ReplicaCore, requestId: number, code: ResultCode): void {
  answer(core, requestId, failure(code));
}
