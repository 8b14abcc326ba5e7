import type { GroupForm, GroupFormReply } from '@burdockrail/protocol/protocolAgreement.js';
import type { GroupHost } from './groupHost.js';

/** Guards a blank replica, so that it becomes a member of one founding at most. */
export interface GroupFounding {
  handle(request: GroupForm): GroupFormReply;
}

/**
 * Creates the guard of one replica.
 *
 * @remarks
 * A founding is carried out only after all of its members promised themselves to it, and a promise
 * is given up only for a founding with a greater name. So of two foundings that share a member at
 * most one is carried out anywhere.
 */
export function createGroupFounding(host: GroupHost): GroupFounding {
  let promised = '';
  const isNamed = (request: GroupForm): boolean =>
    request.members.some((member) => member.id === host.member);
  return {
    handle: (request) => {
      const { groupId, members, final } = request;
      const present = host.replica.groupId;
      if (present !== null) return { accepted: present === groupId };
      if (!isNamed(request) || groupId < promised) return { accepted: false };
      if (final && groupId !== promised) return { accepted: false };
      promised = groupId;
      if (final) host.found(groupId, { voters: members, learners: [] });
      return { accepted: true };
    },
  };
}
