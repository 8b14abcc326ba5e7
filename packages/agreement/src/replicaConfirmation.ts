import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { MemberId } from './groupMembership.js';
import { highestQuorumValue } from './quorumRule.js';
import type {
  AppendEntries,
  AppendReply,
  InstallSnapshot,
  LeaderConfirmation,
} from './replicaMessage.js';
import { quorumView, sendAfterPersist, type LeaderRole, type ReplicaCore } from './replicaState.js';

/** Latest send time such that a quorum has acknowledged messages sent then or later. */
export function quorumContactAt(
  core: ReplicaCore,
  role: LeaderRole,
  now: Milliseconds,
): Milliseconds {
  const quorumSentAt = highestQuorumValue(quorumView(core), (id) =>
    id === core.self.id
      ? now
      : (role.progress.get(id)?.acknowledgedSentAt ?? Number.NEGATIVE_INFINITY),
  );
  return quorumSentAt ?? Number.NEGATIVE_INFINITY;
}

/**
 * Latest time such that a leader has applied all that had been committed by then.
 *
 * @remarks
 * Until a leader has committed an entry of its own term, it may hold entries of earlier terms of
 * which it does not know that they are committed.
 */
function leaderConfirmedAt(core: ReplicaCore, role: LeaderRole, now: Milliseconds): Milliseconds {
  const knowsCommitted = role.termStartIndex <= core.appliedIndex;
  return knowsCommitted ? quorumContactAt(core, role, now) : Number.NEGATIVE_INFINITY;
}

/** Latest time such that this replica has applied all that had been committed by then. */
export function confirmedAt(core: ReplicaCore, now: Milliseconds): Milliseconds {
  const { role } = core;
  if (role.kind !== 'leader') return core.confirmedAt;
  return Math.max(core.confirmedAt, leaderConfirmedAt(core, role, now));
}

/** What a leader tells a member of how up to date it is. */
export function leaderConfirmation(
  core: ReplicaCore,
  role: LeaderRole,
  to: MemberId,
  now: Milliseconds,
): LeaderConfirmation {
  const age = now - leaderConfirmedAt(core, role, now);
  return {
    confirmedAge: Number.isFinite(age) ? age : null,
    lastReply: role.progress.get(to)?.lastReply ?? null,
  };
}

/**
 * Records that this replica has applied all that its leader's message says is committed.
 *
 * @remarks
 * A message may be read long after it was sent. It was certainly sent after the reply that it
 * names, which this replica sent at a time of its own clock, so it tells of that time at the latest.
 */
export function recordConfirmation(
  core: ReplicaCore,
  message: AppendEntries | InstallSnapshot,
): void {
  const { confirmedAge, lastReply } = message;
  if (core.groupId === null || confirmedAge === null || lastReply === null) return;
  const [run, repliedAt] = lastReply;
  const committedIndex = message.kind === 'append' ? message.commitIndex : message.snapshot.index;
  if (run !== core.run || core.appliedIndex < committedIndex) return;
  core.confirmedAt = Math.max(core.confirmedAt, repliedAt - confirmedAge);
}

/** Replies to a message of a leader once all that came before is persisted. */
export function sendReply(
  core: ReplicaCore,
  to: MemberId,
  { round, sentAt }: AppendEntries | InstallSnapshot,
  reply: Pick<AppendReply, 'term' | 'accepted' | 'index'>,
  now: Milliseconds,
): void {
  const stamp = [core.run, now] as const;
  sendAfterPersist(core, to, { kind: 'appendReply', ...reply, round, sentAt, stamp });
}
