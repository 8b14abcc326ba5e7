import { setTimeout as pause } from 'node:timers/promises';
import { risingName } from '@burdockrail/daemon/groupName.js';
import { formatAddress, type Address } from '@burdockrail/protocol/protocolAddress.js';
import type { GroupInspectReply } from '@burdockrail/protocol/protocolAgreement.js';
import { ROUTE_GROUP, type ControlGroup } from './controlGroup.js';
import type { GatewayContext } from './gatewayContext.js';

/** Bound on each call to a seed, in milliseconds. */
const CALL_MILLISECONDS = 400;

/** Pause between two tries, in milliseconds. */
const PAUSE_MILLISECONDS = 100;

/** Time that each seed leaves to those before it in the order of addresses, in milliseconds. */
const TURN_MILLISECONDS = 1_500;

/**
 * Forms the group out of all seeds when the whole system starts for the first time.
 *
 * @remarks
 * All seeds have to be blank and to promise themselves, so two foundings at once cannot both be
 * carried out. The first seed by address begins, and the next ones only when it stays out. A process
 * that starts later never founds a group: it asks to be let in.
 */
export async function foundWhenFirst(
  context: GatewayContext,
  group: ControlGroup,
  self: Address,
  signal: AbortSignal,
): Promise<void> {
  const { client, settings, log } = context;
  const seeds = [...settings.seeds].sort((left, right) =>
    formatAddress(left) < formatAddress(right) ? -1 : 1,
  );
  const place = seeds.findIndex((seed) => formatAddress(seed) === formatAddress(self));
  if (!settings.firstStart || place < 0) return;
  const bound = { timeoutMilliseconds: CALL_MILLISECONDS, signal };
  const isFormed = (): boolean => group.host.replica.groupId !== null;

  const inspectAll = async (): Promise<readonly GroupInspectReply[] | null> => {
    const replies = await Promise.all(
      seeds.map(async (seed) =>
        client
          .to(seed)
          .call('group.inspect', { group: ROUTE_GROUP }, bound)
          .catch(() => null),
      ),
    );
    const present = replies.filter((reply) => reply !== null);
    const allBlank = present.every(({ groupId }) => groupId === null);
    return present.length === seeds.length && allBlank ? present : null;
  };

  const ask = async (members: readonly GroupInspectReply[], groupId: string, final: boolean) => {
    const founders = members.map(({ member, durable }) => ({ id: member, durable }));
    const order = { group: ROUTE_GROUP, groupId, members: founders, final };
    const replies = await Promise.all(
      seeds.map(async (seed) =>
        client
          .to(seed)
          .call('group.found', order, bound)
          .catch(() => ({ accepted: false })),
      ),
    );
    return replies.every(({ accepted }) => accepted);
  };

  const deadline = performance.now() + place * TURN_MILLISECONDS;
  while (!signal.aborted && !isFormed()) {
    if (performance.now() >= deadline) {
      const members = await inspectAll();
      if (members !== null) {
        const groupId = risingName();
        const promised = await ask(members, groupId, false);
        if (promised) await ask(members, groupId, true);
      }
    }
    if (!isFormed()) await pause(PAUSE_MILLISECONDS);
  }
  if (isFormed()) log.write('groupFounded', { group: ROUTE_GROUP, member: group.host.member });
}
