import { setTimeout as pause } from 'node:timers/promises';
import { risingName } from '@burdockrail/daemon/groupName.js';
import { formatAddress, type Address } from '@burdockrail/protocol/protocolAddress.js';
import type { GroupInspectReply } from '@burdockrail/protocol/protocolAgreement.js';
import { ROUTE_GROUP, type ControlGroup } from './controlGroup.js';
import type { GatewayContext } from './gatewayContext.js';

/** Bound on each call to a seed, in milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 400;

/** Pause between two tries, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 100;

/** Time that each seed leaves to those before it in the order of addresses, in milliseconds. */
const SEED_STAGGER_MILLISECONDS = 1_500;

/**
 * Forms the group out of all seeds when the whole system starts for the first time.
 *
 * @remarks
 * All seeds have to be blank and to promise themselves, so two foundings at once cannot both be
 * carried out. The first seed by address begins, and the next ones only when it stays out. A process
 * that starts later never founds a group: it asks to be let in.
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
          .to(seed)
          .call('group.inspect', { group: ROUTE_GROUP }, callOptions)
          .catch(() => null),
      ),
    );
    const answered = replies.filter((reply) => reply !== null);
    const allBlank = answered.every(({ groupId }) => groupId === null);
    return answered.length === seeds.length && allBlank ? answered : null;
  };

  const sendFounding = async (
    members: readonly GroupInspectReply[],
    groupId: string,
    final: boolean,
  ) => {
    const founders = members.map(({ member, durable }) => ({ id: member, durable }));
    const request = { group: ROUTE_GROUP, groupId, members: founders, final };
    const replies = await Promise.all(
      seeds.map(async (seed) =>
        client
          .to(seed)
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
        const groupId = risingName();
        const isPromised = await sendFounding(members, groupId, false);
        if (isPromised) await sendFounding(members, groupId, true);
      }
    }
    if (!isFormed()) await pause(RETRY_DELAY_MILLISECONDS);
  }
  if (isFormed()) log.write('groupFounded', { group: ROUTE_GROUP, member: group.host.member });
}
