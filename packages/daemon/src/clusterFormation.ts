import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { FleetCommand, FleetQuery } from '@burdockrail/fleet/fleetRegister.js';
import type { InitialMember, GroupInspectReply } from '@burdockrail/protocol/protocolAgreement.js';
import type { ClusterForm, ClusterFormReply } from '@burdockrail/protocol/protocolConfiguration.js';
import type { DaemonContext } from './daemonRole.js';
import type { GroupClient } from './groupClient.js';
import { FLEET_GROUP, createSortableId } from './groupName.js';
import { groupNames, groupSlots, type GroupSlot } from './groupSlots.js';

/** Timeout of each call to a slot while a group is formed, in milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 2_000;

/** Timeout of a command or query to the new fleet group, in milliseconds. */
const FLEET_TIMEOUT_MILLISECONDS = 10_000;

/** Forms all groups that are not formed yet. */
export type FormCluster = (request: ClusterForm) => Promise<ClusterFormReply>;

/** Creates the handler of `cluster.form`, which every process with the role `control` provides. */
export function createClusterFormation(context: DaemonContext, groups: GroupClient): FormCluster {
  const { client, settings } = context;
  const callOptions = { timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS };

  const inspect = async (group: string, slot: GroupSlot): Promise<GroupInspectReply> => {
    try {
      return await client.connectionTo(slot.address).call('group.inspect', { group }, callOptions);
    } catch {
      throw new ResultError(
        ResultCode.QuorumUnreachable,
        `${group}: ${slot.name} does not answer; all slots must take part in the formation`,
      );
    }
  };

  const sendFormation = async (
    group: string,
    groupId: string,
    members: readonly InitialMember[],
    final: boolean,
  ): Promise<void> => {
    const replies = await Promise.all(
      groupSlots(settings, group).map(async (slot) =>
        client
          .connectionTo(slot.address)
          .call('group.found', { group, groupId, members, final }, callOptions)
          .catch(() => ({ accepted: false })),
      ),
    );
    // After all members have promised, one that misses the final request is admitted by the others.
    const isSufficient = final
      ? replies.some(({ accepted }) => accepted)
      : replies.every(isAccepted);
    if (!isSufficient)
      throw new ResultError(
        ResultCode.QuorumUnreachable,
        `${group}: not enough slots accepted the formation; try again`,
      );
  };

  const formGroup = async (
    group: string,
    inspections: readonly GroupInspectReply[],
  ): Promise<void> => {
    const members = inspections.map(({ member, durable }) => ({ id: member, durable }));
    if (!members.some((member) => member.durable)) {
      throw new ResultError(ResultCode.GroupNotFormed, `${group}: no slot has a disk`);
    }
    const groupId = createSortableId();
    await sendFormation(group, groupId, members, false);
    await sendFormation(group, groupId, members, true);
  };

  /**
   * Records in the fleet group that a ledger group is formed; rejects if it was formed before,
   * unless the loss of its claims is accepted.
   */
  const recordFormation = async (group: string, acceptLoss: boolean): Promise<void> => {
    const query: FleetQuery = { kind: 'groups' };
    const formedGroups = (await groups.query(
      FLEET_GROUP,
      query,
      FLEET_TIMEOUT_MILLISECONDS,
    )) as string[];
    if (formedGroups.includes(group) && !acceptLoss) {
      throw new ResultError(
        ResultCode.GroupAlreadyFormed,
        `${group}: it was formed before, but all its replicas are empty, so its claims are lost`,
      );
    }
    const command: FleetCommand = { kind: 'formGroup', group };
    await groups.propose(FLEET_GROUP, command, FLEET_TIMEOUT_MILLISECONDS);
  };

  const formUnlessFormed = async (
    group: string,
    acceptLoss: boolean,
  ): Promise<keyof ClusterFormReply> => {
    const slots = groupSlots(settings, group);
    const replies = await Promise.all(slots.map(async (slot) => inspect(group, slot)));
    if (replies.some((reply) => reply.groupId !== null)) return 'alreadyFormed';
    if (group !== FLEET_GROUP) await recordFormation(group, acceptLoss);
    await formGroup(group, replies);
    return 'formed';
  };

  return async ({ acceptLoss }) => {
    const reply = { formed: [] as string[], alreadyFormed: [] as string[] };
    for (const group of groupNames(settings))
      reply[await formUnlessFormed(group, acceptLoss)].push(group);
    if (reply.formed.length === 0) {
      throw new ResultError(ResultCode.GroupAlreadyFormed, reply.alreadyFormed.join(', '));
    }
    return reply;
  };
}

function isAccepted(reply: { readonly accepted: boolean }): boolean {
  return reply.accepted;
}
