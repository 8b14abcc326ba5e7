import { slotOf } from '@burdockrail/agreement/groupMembership.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { GroupInspectReply } from '@burdockrail/protocol/protocolAgreement.js';
import type { GroupHost } from './groupHostTypes.js';

/** Slot of the leader; `null` if it is unknown to the replica. */
export function leaderSlot(host: GroupHost): string | null {
  const { leader } = host.replica;
  return leader === null ? null : slotOf(leader);
}

/**
 * State of a replica for those that form a group.
 *
 * @throws {@link ResultError} with `GroupNotFormed` while its storage has not been opened.
 */
export function inspectReplica(host: GroupHost): GroupInspectReply {
  const { member, durable, replica } = host;
  if (member === null) {
    throw new ResultError(ResultCode.GroupNotFormed, 'the storage cannot be opened at present');
  }
  return { member, durable, groupId: replica.groupId, leader: leaderSlot(host) };
}
