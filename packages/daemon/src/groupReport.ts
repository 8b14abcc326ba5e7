import { allMembers } from '@burdockrail/agreement/groupMembership.js';
import type { ReplicaStatus } from '@burdockrail/agreement/replica.js';
import type { GroupStatus } from '@burdockrail/protocol/protocolConfiguration.js';
import type { EventLog } from '@burdockrail/telemetry/eventLog.js';
import type { HostedReplicaStatus } from './withdrawnReplica.js';

/** Reports the state of a replica to operators. */
export interface GroupReport {
  /** Writes log events for changes since the last call. */
  observe(status: ReplicaStatus): void;
  toGroupStatus(status: HostedReplicaStatus): GroupStatus;
}

function formatMembers(status: ReplicaStatus): string {
  const voters = status.membership.voters.map((voter) => voter.id);
  const learners = status.membership.learners.map((learner) => `${learner.id} (learner)`);
  return [...voters, ...learners].join(', ');
}

/** Creates the report of one replica. */
export function createGroupReport(
  context: { readonly log: EventLog },
  group: string,
  member: string,
): GroupReport {
  let lastStatus: ReplicaStatus | null = null;
  const observe = (status: ReplicaStatus): void => {
    const previousStatus = lastStatus;
    lastStatus = status;
    if (status.groupId !== null && previousStatus !== null && previousStatus.groupId === null) {
      context.log.write('groupFounded', { group, member, founding: status.groupId });
    }
    if (status.role !== previousStatus?.role) {
      context.log.write('groupRoleChanged', { group, role: status.role, term: status.term });
    }
    if (status.membership === previousStatus?.membership) return;
    if (allMembers(status.membership).length === 0) return;
    context.log.write('groupMembershipChanged', { group, members: formatMembers(status) });
  };
  return {
    observe,
    toGroupStatus: (status) => ({
      group,
      member,
      role: status.role,
      term: status.term,
      commitIndex: status.commitIndex,
      leader: status.leader,
      voters: status.membership.voters.map((voter) => voter.id),
      learners: status.membership.learners.map((learner) => learner.id),
    }),
  };
}
