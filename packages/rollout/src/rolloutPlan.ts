import type { Digest } from '@burdockrail/common/digest.js';
import { createChainPlan } from './planChain.js';
import { createOriginPlan } from './planOrigin.js';
import { createSwarmPlan } from './planSwarm.js';
import { createTreePlan } from './planTree.js';
import type { RolloutLayout } from './rolloutLayout.js';

/** Where a chunk can be fetched from. */
export type ChunkSource =
  { readonly kind: 'origin' } | { readonly kind: 'peer'; readonly agent: string };

/** Input of {@link RolloutPlan.sources} for one missing chunk. */
export interface SourceQuery {
  readonly index: number;
  /** Watched peers that hold the chunk and are not avoided now. */
  readonly holders: readonly string[];
  /**
   * Number of takeover timeouts that passed since the last chunk arrived. A member takes over a chunk
   * once this exceeds its rank in the order of that chunk.
   */
  readonly elapsedTakeoverTimeouts: number;
}

/** Decides which sources a member may use for each chunk, for one layout and one version. */
export interface RolloutPlan {
  /** Peers whose held chunks the agent has to follow. */
  readonly watched: ReadonlySet<string>;
  /** Sources that may be used now, without preference; empty when the chunk has to wait. */
  sources(query: SourceQuery): readonly ChunkSource[];
  /**
   * Whether the agent reads from the origin from the start. The others wait for a first chunk or a
   * short delay, so that reads by all members do not slow down the first chunks.
   */
  readonly readsOriginImmediately: boolean;
  /** Whether chunks are fetched rarest first; otherwise in index order. */
  readonly rarestFirst: boolean;
}

/** Creates the plan of a layout. */
export type RolloutPlanFactory = (layout: RolloutLayout, chunks: readonly Digest[]) => RolloutPlan;

/** Names of the plans. */
export type PlanName = 'swarm' | 'origin' | 'chain' | 'tree';

/**
 * All plans by name.
 *
 * @remarks
 * `swarm` is the plan for production; the others are baselines for comparison.
 */
export const rolloutPlans: Readonly<Record<PlanName, RolloutPlanFactory>> = {
  swarm: createSwarmPlan,
  origin: createOriginPlan,
  chain: createChainPlan,
  tree: createTreePlan,
};
