import { allMembers } from '@burdockrail/agreement/groupMembership.js';
import type { ReplicaStatus } from '@burdockrail/agreement/replica.js';
import type { GroupStatus } from '@burdockrail/protocol/protocolConfiguration.js';
import type { EventLog } from '@burdockrail/telemetry/eventLog.js';

/** Tells operators what a replica does. */
export interface GroupReport {
  /** Writes events for what changed since the last call. */
  observe(status: ReplicaStatus): void;
  statusOf(status: ReplicaStatus): GroupStatus;
}

function membersText(status: ReplicaStatus): string {
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
  let last: ReplicaStatus | null = null;
  const observe = (status: ReplicaStatus): void => {
    const former = last;
    last = status;
    if (status.groupId !== null && former !== null && former.groupId === null) {
      context.log.write('groupFounded', { group, member, founding: status.groupId });
    }
    if (status.role !== former?.role) {
      context.log.write('groupRoleChanged', { group, role: status.role, term: status.term });
    }
    if (status.membership === former?.membership) return;
    if (allMembers(status.membership).length === 0) return;
    context.log.write('groupMembershipChanged', { group, members: membersText(status) });
  };
  return {
    observe,
    statusOf: (status) => ({
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
