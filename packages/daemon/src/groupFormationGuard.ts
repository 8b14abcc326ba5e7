import type { GroupForm, GroupFormReply } from '@burdockrail/protocol/protocolAgreement.js';
import type { GroupHost } from './groupHostTypes.js';

/** Ensures that a replica without a group becomes a member of at most one formation. */
export interface FormationGuard {
  handle(request: GroupForm): GroupFormReply;
}

/**
 * Creates the formation guard of one replica.
 *
 * @remarks
 * A formation is committed only after all of its members have promised to join it, and a promise is
 * replaced only by one for a formation with a greater id. So of two formations that share a member,
 * at most one is committed.
 */
export function createFormationGuard(host: GroupHost): FormationGuard {
  let promisedGroupId = '';
  const includesThisReplica = (request: GroupForm): boolean =>
    request.members.some((member) => member.id === host.member);
  return {
    handle: (request) => {
      const { groupId, members, final } = request;
      const currentGroupId = host.replica.groupId;
      if (currentGroupId !== null) return { accepted: currentGroupId === groupId };
      if (host.replica.role === 'withdrawn') return { accepted: false };
      if (!includesThisReplica(request) || groupId < promisedGroupId) return { accepted: false };
      if (final && groupId !== promisedGroupId) return { accepted: false };
      promisedGroupId = groupId;
      if (final) host.formGroup(groupId, { voters: members, learners: [] });
      return { accepted: true };
    },
  };
}
