import { setTimeout as delay } from 'node:timers/promises';
import type { Digest } from '@burdockrail/common/digest.js';
import { findMember, type RolloutLayout } from '@burdockrail/rollout/rolloutLayout.js';
import type { WeightsPeers } from './weightsPeers.js';

/** Delay before a watch that has ended is restarted, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 300;

/** Called with chunks that a peer holds, or with null if its held chunks are no longer known. */
export type PeerHeldListener = (agent: string, indices: readonly number[] | null) => void;

/** Watches which chunks the peers of a rollout hold. */
export interface WeightsWatches extends AsyncDisposable {
  /** Sets the peers to watch; watches of all others are stopped. */
  setPeers(agents: ReadonlySet<string>, layout: RolloutLayout): void;
}

/** Creates the watches of one rollout. */
export function createWeightsWatches(
  peers: WeightsPeers,
  digest: Digest,
  listener: PeerHeldListener,
): WeightsWatches {
  const activeWatches = new Map<string, AbortController>();
  let layout: RolloutLayout | null = null;

  const watchOnce = async (agent: string, signal: AbortSignal): Promise<void> => {
    const member = layout === null ? undefined : findMember(layout, agent);
    if (member === undefined) return;
    await peers.watchHeldChunks(member.address, digest, signal, (indices) => {
      if (!signal.aborted) listener(agent, indices);
    });
  };

  const watchRepeatedly = async (agent: string, signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      await watchOnce(agent, signal).catch(() => undefined);
      listener(agent, null);
      await delay(RETRY_DELAY_MILLISECONDS, undefined, { signal }).catch(() => undefined);
    }
  };

  const stop = (agent: string): void => {
    activeWatches.get(agent)?.abort();
    activeWatches.delete(agent);
  };

  return {
    setPeers: (agents, next) => {
      layout = next;
      for (const agent of activeWatches.keys()) if (!agents.has(agent)) stop(agent);
      for (const agent of agents) {
        if (activeWatches.has(agent)) continue;
        const controller = new AbortController();
        activeWatches.set(agent, controller);
        void watchRepeatedly(agent, controller.signal);
      }
    },
    [Symbol.asyncDispose]: async () => {
      for (const agent of [...activeWatches.keys()]) stop(agent);
      return Promise.resolve();
    },
  };
}
