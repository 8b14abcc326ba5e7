import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { FleetCommand, FleetQuery } from '@burdockrail/fleet/fleetRegister.js';
import type { InitialMember, GroupInspectReply } from '@burdockrail/protocol/protocolAgreement.js';
import type { ClusterForm, ClusterFormReply } from '@burdockrail/protocol/protocolConfiguration.js';
import type { DaemonContext } from './daemonRole.js';
import type { GroupClient } from './groupClient.js';
import { FLEET_GROUP, risingName } from './groupName.js';
import { groupNames, groupSlots, type GroupSlot } from './groupSlots.js';

/** Bound on each call to a slot while a group is formed, in milliseconds. */
const CALL_MILLISECONDS = 2_000;

/** Bound on a command or query of the new fleet group, in milliseconds. */
const FLEET_MILLISECONDS = 10_000;

/** Carries out the order to form all groups. */
export type FormCluster = (order: ClusterForm) => Promise<ClusterFormReply>;

/** Creates the handler of the order; any process with the role control can take it. */
export function createGroupFormation(context: DaemonContext, groups: GroupClient): FormCluster {
  const { client, settings } = context;
  const bound = { timeoutMilliseconds: CALL_MILLISECONDS };

  const inspect = async (group: string, slot: GroupSlot): Promise<GroupInspectReply> => {
    try {
      return await client.connectionTo(slot.address).call('group.inspect', { group }, bound);
    } catch {
      throw new ResultError(
        ResultCode.QuorumUnreachable,
        `${group}: ${slot.name} does not answer; all slots must take part in the forming`,
      );
    }
  };

  const sendFounding = async (
    group: string,
    groupId: string,
    members: readonly InitialMember[],
    final: boolean,
  ): Promise<void> => {
    const replies = await Promise.all(
      groupSlots(settings, group).map(async (slot) =>
        client
          .connectionTo(slot.address)
          .call('group.found', { group, groupId, members, final }, bound)
          .catch(() => ({ accepted: false })),
      ),
    );
    // Once all have promised, a member that misses the final word is let in by the others.
    const enough = final ? replies.some(({ accepted }) => accepted) : replies.every(isAccepted);
    if (!enough) throw new ResultError(ResultCode.QuorumUnreachable, `${group}: try again`);
  };

  const found = async (group: string, blanks: readonly GroupInspectReply[]): Promise<void> => {
    const members = blanks.map(({ member, durable }) => ({ id: member, durable }));
    if (!members.some((member) => member.durable)) {
      throw new ResultError(ResultCode.GroupNotFormed, `${group}: no slot has a disk`);
    }
    const groupId = risingName();
    await sendFounding(group, groupId, members, false);
    await sendFounding(group, groupId, members, true);
  };

  /** Whether the fleet group remembers that a ledger group was formed before. */
  const recordForming = async (group: string, acceptLoss: boolean): Promise<void> => {
    const query: FleetQuery = { kind: 'groups' };
    const known = (await groups.query(FLEET_GROUP, query, FLEET_MILLISECONDS)) as string[];
    if (known.includes(group) && !acceptLoss) {
      throw new ResultError(
        ResultCode.GroupAlreadyFormed,
        `${group}: it was formed before and all its replicas are blank; its claims are lost`,
      );
    }
    const command: FleetCommand = { kind: 'formGroup', group };
    await groups.propose(FLEET_GROUP, command, FLEET_MILLISECONDS);
  };

  const form = async (group: string, acceptLoss: boolean): Promise<keyof ClusterFormReply> => {
    const slots = groupSlots(settings, group);
    const replies = await Promise.all(slots.map(async (slot) => inspect(group, slot)));
    if (replies.some((reply) => reply.groupId !== null)) return 'alreadyFormed';
    if (group !== FLEET_GROUP) await recordForming(group, acceptLoss);
    await found(group, replies);
    return 'formed';
  };

  return async ({ acceptLoss }) => {
    const reply = { formed: [] as string[], alreadyFormed: [] as string[] };
    for (const group of groupNames(settings)) reply[await form(group, acceptLoss)].push(group);
    if (reply.formed.length === 0) {
      throw new ResultError(ResultCode.GroupAlreadyFormed, reply.alreadyFormed.join(', '));
    }
    return reply;
  };
}

function isAccepted(reply: { readonly accepted: boolean }): boolean {
  return reply.accepted;
}
