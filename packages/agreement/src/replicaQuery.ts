import { failure, success } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { highestReached } from './quorumRule.js';
import { broadcast } from './replicaReplication.js';
import { answer, quorumView, type LeaderRole, type ReplicaCore } from './replicaState.js';
import { leaseMilliseconds } from './replicaTiming.js';

/** Time of sending of the latest messages that a quorum has answered. */
export function confirmedAt(core: ReplicaCore, role: LeaderRole, now: Milliseconds): Milliseconds {
  const reached = highestReached(quorumView(core), (id) =>
    id === core.self.id ? now : (role.progress.get(id)?.answeredSentAt ?? Number.NEGATIVE_INFINITY),
  );
  return reached ?? Number.NEGATIVE_INFINITY;
}

/** Tells whether no other leader can have been elected yet. */
export function holdsLease(core: ReplicaCore, role: LeaderRole, now: Milliseconds): boolean {
  return now < confirmedAt(core, role, now) + leaseMilliseconds(core.timing);
}

/** Tells whether a leader has heard from no quorum for so long that it has to step down. */
export function hasLostQuorum(core: ReplicaCore, role: LeaderRole, now: Milliseconds): boolean {
  const heard = Math.max(role.since, confirmedAt(core, role, now));
  return now > heard + core.timing.electionMilliseconds;
}

/** Answers a query under the lease, or once a quorum has confirmed the leader. */
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
  const mayUseLease = core.timing.answersUnderLease && holdsLease(core, role, now);
  if (role.firstIndex <= core.commitIndex && mayUseLease) {
    answer(core, requestId, success(core.state.query(query)));
    return;
  }
  const index = Math.max(core.commitIndex, role.firstIndex);
  role.queries.push({ requestId, query, round: role.round + 1, index });
  broadcast(core, role, now);
}

/** Answers the queries whose round a quorum has answered. */
export function answerQueries(core: ReplicaCore, role: LeaderRole): void {
  if (role.queries.length === 0) return;
  const round =
    highestReached(quorumView(core), (id) =>
      id === core.self.id ? role.round : (role.progress.get(id)?.answeredRound ?? 0),
    ) ?? 0;
  const isReady = (waiting: { readonly round: number; readonly index: number }): boolean =>
    waiting.round <= round && waiting.index <= core.appliedIndex;
  const ready = role.queries.filter(isReady);
  role.queries = role.queries.filter((waiting) => !isReady(waiting));
  for (const { requestId, query } of ready) {
    answer(core, requestId, success(core.state.query(query)));
  }
}
