import { setTimeout as delay } from 'node:timers/promises';
import type { Digest } from '@burdockrail/common/digest.js';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';
import { mayInterrupt, type TurnPeer } from '@burdockrail/rollout/rolloutTurn.js';
import type { DaemonContext } from './daemonRole.js';
import { presentAgents } from './weightsMembers.js';

/** Time in which the announcements of others that wait arrive, in milliseconds. */
const SETTLING_MILLISECONDS = 500;

/** Time between two looks at the others, in milliseconds. */
const INTERVAL_MILLISECONDS = 200;

function turnPeers(
  context: DaemonContext,
  service: string,
  digest: Digest,
  present: readonly Announcement[],
): readonly TurnPeer[] {
  const others = present.filter(
    (peer) =>
      peer.service === service && peer.state === 'present' && peer.agent !== context.identity.name,
  );
  const local = others.filter((peer) => peer.dataCentre === context.settings.dataCentre);
  return (local.length > 0 ? local : others).map(({ agent, ready, serving, rollout }) => ({
    agent,
    isReady: ready,
    waitsForTurn:
      serving?.digest !== digest &&
      rollout?.digest === digest &&
      rollout.heldChunks === rollout.chunks,
  }));
}

/** Waits until the agent may interrupt its upstream; goes on when no registrar answers. */
export async function awaitTurn(
  context: DaemonContext,
  service: string,
  digest: Digest,
  signal: AbortSignal,
): Promise<void> {
  const begin = context.time.now();
  await delay(SETTLING_MILLISECONDS, undefined, { signal });
  for (;;) {
    const present = await presentAgents(context).catch(() => []);
    const peers = turnPeers(context, service, digest, present);
    const waited = context.time.now() - begin;
    if (mayInterrupt(context.identity.name, peers, waited)) return;
    await delay(INTERVAL_MILLISECONDS, undefined, { signal });
  }
}
