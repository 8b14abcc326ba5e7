import type { MemberId } from '@burdockrail/agreement/groupMembership.js';
import type { ReplicaStatus } from '@burdockrail/agreement/replica.js';
import type { ReplicaMessage } from '@burdockrail/agreement/replicaMessage.js';

/** Status of a hosted replica; a withdrawn one takes no part in its group. */
export type HostedReplicaStatus = Omit<ReplicaStatus, 'role'> & {
  readonly role: ReplicaStatus['role'] | 'withdrawn';
};

/** A replica without storage, which only learns who leads its group. */
export interface WithdrawnReplica {
  readonly status: HostedReplicaStatus;
  receive(message: ReplicaMessage): void;
}

/** Status of a replica whose storage has never been opened. */
const unknownStatus: ReplicaStatus = {
  role: 'unformed',
  groupId: null,
  term: 0,
  lastIndex: 0,
  commitIndex: 0,
  appliedIndex: 0,
  leader: null,
  membership: { voters: [], learners: [] },
};

/**
 * Creates a withdrawn replica.
 *
 * @param member - its member id; `null` if its storage has never been opened.
 * @param lastStatus - status before it withdrew.
 */
export function createWithdrawnReplica(
  member: MemberId | null,
  lastStatus: ReplicaStatus = unknownStatus,
): WithdrawnReplica {
  let leader = lastStatus.leader === member ? null : lastStatus.leader;
  let leaderTerm = lastStatus.term;
  return {
    get status() {
      return { ...lastStatus, role: 'withdrawn' as const, leader };
    },
    receive: ({ groupId, from, to, body }) => {
      const isFromLeader = body.kind === 'append' || body.kind === 'install';
      if (!isFromLeader || to !== member || groupId !== lastStatus.groupId) return;
      if (body.term < leaderTerm) return;
      leader = from;
      leaderTerm = body.term;
    },
  };
}
