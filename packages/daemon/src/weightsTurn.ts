import { setTimeout as delay } from 'node:timers/promises';
import { rendezvousOrder } from '@burdockrail/common/rendezvousHash.js';
import type { SwitchTurnRequest } from '@burdockrail/protocol/protocolWeights.js';
import type { RolloutMember } from '@burdockrail/rollout/rolloutLayout.js';
import { createTurnLeases, maximumConcurrentTurns } from '@burdockrail/rollout/rolloutTurn.js';
import type { PeerHandlers } from '@burdockrail/transport/peerHandlers.js';
import type { DaemonContext } from './daemonRole.js';
import { membersInReply, fetchPresentMembers } from './weightsMembers.js';

/** Time for which a request waits for a free turn before it is denied, in milliseconds. */
const LONG_POLL_TIMEOUT_MILLISECONDS = 1_000;

/** Timeout of one request for a turn, in milliseconds. */
const REQUEST_TIMEOUT_MILLISECONDS = 1_500;

/** Time after which an upstream switches without a turn, in milliseconds. */
const MAXIMUM_WAIT_MILLISECONDS = 30_000;

/** An agent of the same service and data centre. */
type TurnPeer = Pick<RolloutMember, 'agent' | 'address'>;

/** Turns that limit how many upstreams of a service and data centre switch weights concurrently. */
export interface WeightsTurns {
  readonly handlers: Partial<PeerHandlers>;
  /**
   * Waits for a turn.
   *
   * @returns the function that releases it.
   */
  acquire(signal: AbortSignal): Promise<() => void>;
}

/**
 * Creates the turns of one agent.
 *
 * @remarks
 * One agent, chosen by rendezvous hashing, grants the turns of all; if it does not answer, the next
 * one in the hash order is asked. Agents with different views of the membership may ask different
 * granters, so the limit can be exceeded briefly; this costs capacity but never correctness.
 */
export function createWeightsTurns(context: DaemonContext, service: string): WeightsTurns {
  const turnLeases = createTurnLeases();
  const waitingRequests = new Set<() => void>();
  const { name, dataCentre } = context.settings;

  const wakeWaitingRequests = (): void => {
    for (const wake of waitingRequests) wake();
  };

  const awaitTurn = async (request: SwitchTurnRequest): Promise<boolean> => {
    const deadline = context.time.now() + LONG_POLL_TIMEOUT_MILLISECONDS;
    while (!turnLeases.tryAcquire(request.agent, request.slots, context.time.now())) {
      const remainingMilliseconds = deadline - context.time.now();
      if (remainingMilliseconds <= 0) return false;
      let wake: () => void = () => undefined;
      const woken = new Promise<void>((resolve) => {
        wake = resolve;
      });
      waitingRequests.add(wake);
      await Promise.race([woken, delay(remainingMilliseconds)]);
      waitingRequests.delete(wake);
    }
    return true;
  };

  const releaseTurn = (agent: string): void => {
    turnLeases.release(agent);
    wakeWaitingRequests();
  };

  const listGranters = async (): Promise<readonly TurnPeer[]> => {
    const request = { services: [service], digest: '', known: null };
    const presentMembers = await fetchPresentMembers(context, request).then(
      membersInReply,
      () => [],
    );
    const local = presentMembers.filter(
      (peer) => peer.agent !== name && peer.dataCentre === dataCentre,
    );
    const self: TurnPeer = { agent: name, address: context.advertised };
    return rendezvousOrder(service, [self, ...local], ({ agent }) => agent);
  };

  return {
    handlers: {
      calls: {
        'weights.turn': async (request) => ({ granted: await awaitTurn(request) }),
      },
      notifications: {
        'weights.turn-done': ({ agent }) => {
          releaseTurn(agent);
        },
      },
    },
    acquire: async (signal) => {
      const startedAt = context.time.now();
      const granters = await listGranters();
      const request = { agent: name, slots: maximumConcurrentTurns(granters.length) };
      const callOptions = { timeoutMilliseconds: REQUEST_TIMEOUT_MILLISECONDS, signal };
      while (context.time.now() - startedAt < MAXIMUM_WAIT_MILLISECONDS) {
        for (const granter of granters) {
          signal.throwIfAborted();
          const isSelf = granter.agent === name;
          const granted = isSelf
            ? await awaitTurn(request)
            : await context.client
                .connectionTo(granter.address)
                .call('weights.turn', request, callOptions)
                .then(
                  (reply) => reply.granted,
                  () => null,
                );
          // The next granter is asked only if this one does not answer.
          if (granted === null) continue;
          if (!granted) break;
          return () => {
            if (isSelf) releaseTurn(name);
            else context.client.notify(granter.address, 'weights.turn-done', { agent: name });
          };
        }
      }
      return () => undefined;
    },
  };
}
