import { setTimeout as delay } from 'node:timers/promises';
import { rendezvousOrder } from '@burdockrail/common/rendezvousHash.js';
import type { SwitchTurnRequest } from '@burdockrail/protocol/protocolWeights.js';
import type { RolloutMember } from '@burdockrail/rollout/rolloutLayout.js';
import { createTurnLeases, maximumConcurrentTurns } from '@burdockrail/rollout/rolloutTurn.js';
import type { PeerHandlers } from '@burdockrail/transport/peerHandlers.js';
import type { DaemonContext } from './daemonRole.js';
import { membersOf, presentMembers } from './weightsMembers.js';

/** Time for which a request for a turn is kept open when none is free, in milliseconds. */
const KEPT_OPEN_MILLISECONDS = 1_000;

/** Bound on one request for a turn, in milliseconds. */
const REQUEST_MILLISECONDS = 1_500;

/** Time after which an upstream switches although it has no turn, in milliseconds. */
const LONGEST_WAIT_MILLISECONDS = 30_000;

/** An agent of the same service and data centre. */
type Colleague = Pick<RolloutMember, 'agent' | 'address'>;

/** Turns in which the upstreams of a service and data centre switch their weights. */
export interface WeightsTurns {
  readonly handlers: Partial<PeerHandlers>;
  /**
   * Waits for a turn.
   *
   * @returns the function that gives it back.
   */
  take(signal: AbortSignal): Promise<() => void>;
}

/**
 * Creates the turns of one agent.
 *
 * @remarks
 * One of the agents, chosen by rendezvous hash, gives turns to all; each asks the next in the order
 * when the first does not answer. Agents that know different members may ask different ones, so
 * the bound can be exceeded for a moment; that costs capacity and never a wrong answer.
 */
export function createWeightsTurns(context: DaemonContext, service: string): WeightsTurns {
  const desk = createTurnLeases();
  const waiting = new Set<() => void>();
  const { name, dataCentre } = context.settings;

  const wakeAll = (): void => {
    for (const wake of waiting) wake();
  };

  const grant = async (request: SwitchTurnRequest): Promise<boolean> => {
    const limit = context.time.now() + KEPT_OPEN_MILLISECONDS;
    while (!desk.tryAcquire(request.agent, request.slots, context.time.now())) {
      const left = limit - context.time.now();
      if (left <= 0) return false;
      let wake: () => void = () => undefined;
      const woken = new Promise<void>((resolve) => {
        wake = resolve;
      });
      waiting.add(wake);
      await Promise.race([woken, delay(left)]);
      waiting.delete(wake);
    }
    return true;
  };

  const giveBack = (agent: string): void => {
    desk.release(agent);
    wakeAll();
  };

  const colleagues = async (): Promise<readonly Colleague[]> => {
    const request = { services: [service], digest: '', known: null };
    const present = await presentMembers(context, request).then(membersOf, () => []);
    const local = present.filter((peer) => peer.agent !== name && peer.dataCentre === dataCentre);
    const self: Colleague = { agent: name, address: context.advertised };
    return rendezvousOrder(service, [self, ...local], ({ agent }) => agent);
  };

  return {
    handlers: {
      calls: {
        'weights.turn': async (request) => ({ granted: await grant(request) }),
      },
      notifications: {
        'weights.turn-done': ({ agent }) => {
          giveBack(agent);
        },
      },
    },
    take: async (signal) => {
      const begin = context.time.now();
      const members = await colleagues();
      const request = { agent: name, slots: maximumConcurrentTurns(members.length) };
      const timeout = { timeoutMilliseconds: REQUEST_MILLISECONDS, signal };
      while (context.time.now() - begin < LONGEST_WAIT_MILLISECONDS) {
        for (const member of members) {
          signal.throwIfAborted();
          const isSelf = member.agent === name;
          const granted = isSelf
            ? await grant(request)
            : await context.client
                .connectionTo(member.address)
                .call('weights.turn', request, timeout)
                .then(
                  (reply) => reply.granted,
                  () => null,
                );
          // Another one is asked only when this one does not answer.
          if (granted === null) continue;
          if (!granted) break;
          return () => {
            if (isSelf) giveBack(name);
            else context.client.notify(member.address, 'weights.turn-done', { agent: name });
          };
        }
      }
      return () => undefined;
    },
  };
}
