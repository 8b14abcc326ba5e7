import { setTimeout as pause } from 'node:timers/promises';
import { createSortableId } from '@burdockrail/daemon/groupName.js';
import { formatAddress, type Address } from '@burdockrail/protocol/protocolAddress.js';
import type { GroupInspectReply } from '@burdockrail/protocol/protocolAgreement.js';
import { ROUTE_GROUP, type ControlGroup } from './controlGroup.js';
import type { GatewayContext } from './gatewayContext.js';

/** Timeout of each call to a seed, in milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 400;

/** Delay between attempts, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 100;

/** Time that each seed waits for the one before it in address order, in milliseconds. */
const SEED_STAGGER_MILLISECONDS = 1_500;

/**
 * Forms the control group from all seeds when the whole system starts for the first time.
 *
 * @remarks
 * All seeds must have empty storage and first promise to join, so at most one of two concurrent
 * attempts can succeed. The first seed in address order begins; the others follow only if it is
 * absent. A process that starts later never forms a group but asks the existing one for admission.
 */
export async function formGroupOnFirstStart(
  context: GatewayContext,
  group: ControlGroup,
  self: Address,
  signal: AbortSignal,
): Promise<void> {
  const { client, settings, log } = context;
  const seeds = [...settings.seeds].sort((left, right) =>
    formatAddress(left) < formatAddress(right) ? -1 : 1,
  );
  const seedIndex = seeds.findIndex((seed) => formatAddress(seed) === formatAddress(self));
  if (!settings.firstStart || seedIndex < 0) return;
  const callOptions = { timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS, signal };
  const isFormed = (): boolean => group.host.replica.groupId !== null;

  const inspectBlankSeeds = async (): Promise<readonly GroupInspectReply[] | null> => {
    const replies = await Promise.all(
      seeds.map(async (seed) =>
        client
          .connectionTo(seed)
          .call('group.inspect', { group: ROUTE_GROUP }, callOptions)
          .catch(() => null),
      ),
    );
    const answered = replies.filter((reply) => reply !== null);
    const allBlank = answered.every(({ groupId }) => groupId === null);
    return answered.length === seeds.length && allBlank ? answered : null;
  };

  const proposeFormation = async (
    members: readonly GroupInspectReply[],
    groupId: string,
    final: boolean,
  ) => {
    const founders = members.map(({ member, durable }) => ({ id: member, durable }));
    const request = { group: ROUTE_GROUP, groupId, members: founders, final };
    const replies = await Promise.all(
      seeds.map(async (seed) =>
        client
          .connectionTo(seed)
          .call('group.found', request, callOptions)
          .catch(() => ({ accepted: false })),
      ),
    );
    return replies.every(({ accepted }) => accepted);
  };

  const startAt = performance.now() + seedIndex * SEED_STAGGER_MILLISECONDS;
  while (!signal.aborted && !isFormed()) {
    if (performance.now() >= startAt) {
      const members = await inspectBlankSeeds();
      if (members !== null) {
        const groupId = createSortableId();
        const isPromised = await proposeFormation(members, groupId, false);
        if (isPromised) await proposeFormation(members, groupId, true);
      }
    }
    if (!isFormed()) await pause(RETRY_DELAY_MILLISECONDS);
  }
  if (isFormed()) log.write('groupFounded', { group: ROUTE_GROUP, member: group.host.member });
}
