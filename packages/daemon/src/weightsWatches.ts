import { setTimeout as delay } from 'node:timers/promises';
import type { Digest } from '@burdockrail/common/digest.js';
import { findMember, type RolloutLayout } from '@burdockrail/rollout/rolloutLayout.js';
import type { WeightsPeers } from './weightsPeers.js';

/** Wait before a watch that ended is begun again, in milliseconds. */
const RETRY_MILLISECONDS = 300;

/** Called with what a peer holds, or with null when that is no longer known. */
export type PeerHeldListener = (agent: string, indices: readonly number[] | null) => void;

/** Follows which chunks the watched peers of a rollout hold. */
export interface WeightsWatches extends AsyncDisposable {
  /** Watches exactly these peers from now on. */
  follow(agents: ReadonlySet<string>, layout: RolloutLayout): void;
}

/** Creates the watches of one rollout. */
export function createWeightsWatches(
  peers: WeightsPeers,
  digest: Digest,
  listener: PeerHeldListener,
): WeightsWatches {
  const running = new Map<string, AbortController>();
  let layout: RolloutLayout | null = null;

  const watchOnce = async (agent: string, signal: AbortSignal): Promise<void> => {
    const member = layout === null ? undefined : findMember(layout, agent);
    if (member === undefined) return;
    await peers.watch(member.address, digest, signal, (indices) => {
      if (!signal.aborted) listener(agent, indices);
    });
  };

  const keepWatching = async (agent: string, signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      await watchOnce(agent, signal).catch(() => undefined);
      listener(agent, null);
      await delay(RETRY_MILLISECONDS, undefined, { signal }).catch(() => undefined);
    }
  };

  const stop = (agent: string): void => {
    running.get(agent)?.abort();
    running.delete(agent);
  };

  return {
    follow: (agents, next) => {
      layout = next;
      for (const agent of running.keys()) if (!agents.has(agent)) stop(agent);
      for (const agent of agents) {
        if (running.has(agent)) continue;
        const controller = new AbortController();
        running.set(agent, controller);
        void keepWatching(agent, controller.signal);
      }
    },
    [Symbol.asyncDispose]: async () => {
      for (const agent of [...running.keys()]) stop(agent);
      return Promise.resolve();
    },
  };
}
