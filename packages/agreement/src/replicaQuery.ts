import { failure, success } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { highestQuorumValue } from './quorumRule.js';
import { quorumContactAt } from './replicaConfirmation.js';
import { broadcast } from './replicaReplication.js';
import { answer, quorumView, type LeaderRole, type ReplicaCore } from './replicaState.js';
import { leaseDurationMilliseconds } from './replicaTiming.js';

/** Tells whether the lease is valid: no other leader can have been elected yet. */
export function holdsLease(core: ReplicaCore, role: LeaderRole, now: Milliseconds): boolean {
  return now < quorumContactAt(core, role, now) + leaseDurationMilliseconds(core.timing);
}

/** Tells whether a leader has had no contact with a quorum for the election timeout. */
export function hasLostQuorum(core: ReplicaCore, role: LeaderRole, now: Milliseconds): boolean {
  const lastQuorumContactAt = Math.max(role.electedAt, quorumContactAt(core, role, now));
  return now > lastQuorumContactAt + core.timing.electionTimeoutMilliseconds;
}

/** Answers a query under the lease, or after a quorum has confirmed the leader. */
export function onQuery(
  core: ReplicaCore,
  requestId: number,
  query: unknown,
  now: Milliseconds,
): void {
  const { role } = core;
  if (role.kind !== 'leader') {
    answer(core, requestId, failure(ResultCode.NotLeader));
    return;
  }
  const mayUseLease = core.timing.usesLeaseReads && holdsLease(core, role, now);
  if (role.termStartIndex <= core.commitIndex && mayUseLease) {
    answer(core, requestId, success(core.state.query(query)));
    return;
  }
  const index = Math.max(core.commitIndex, role.termStartIndex);
  role.pendingQueries.push({ requestId, query, round: role.round + 1, index });
  broadcast(core, role, now);
}

/** Answers the pending queries whose round a quorum has acknowledged. */
export function answerQueries(core: ReplicaCore, role: LeaderRole): void {
  if (role.pendingQueries.length === 0) return;
  const round =
    highestQuorumValue(quorumView(core), (id) =>
      id === core.self.id ? role.round : (role.progress.get(id)?.acknowledgedRound ?? 0),
    ) ?? 0;
  const isReady = (pending: { readonly round: number; readonly index: number }): boolean =>
    pending.round <= round && pending.index <= core.appliedIndex;
  const ready = role.pendingQueries.filter(isReady);
  role.pendingQueries = role.pendingQueries.filter((pending) => !isReady(pending));
  for (const { requestId, query } of ready) {
    answer(core, requestId, success(core.state.query(query)));
  }
}
