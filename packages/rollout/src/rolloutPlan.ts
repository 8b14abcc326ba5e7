import type { Digest } from '@burdockrail/common/digest.js';
import { createChainPlan } from './planChain.js';
import { createOriginPlan } from './planOrigin.js';
import { createSwarmPlan } from './planSwarm.js';
import { createTreePlan } from './planTree.js';
import type { RolloutLayout } from './rolloutLayout.js';

/** Where a chunk can be taken from. */
export type ChunkSource =
  { readonly kind: 'origin' } | { readonly kind: 'peer'; readonly agent: string };

/** What a plan is asked about one missing chunk. */
export interface SourceQuestion {
  readonly index: number;
  /** Watched peers that hold the chunk and are not avoided at present. */
  readonly holders: readonly string[];
  /**
   * Step-in bounds that passed since a chunk arrived last. A member takes over the duty of one
   * that comes before it in the order of the chunk when as many bounds have passed.
   */
  readonly elapsedBounds: number;
}

/** How chunks travel, for one layout and one version. */
export interface RolloutPlan {
  /** Peers that the agent has to ask which chunks they hold. */
  readonly watched: ReadonlySet<string>;
  /** Sources that may be used now, all equally good; empty when the chunk has to wait. */
  sources(question: SourceQuestion): readonly ChunkSource[];
  /**
   * Whether the agent reads from the origin at once. The others wait until a first chunk arrived or
   * a short time passed, so that the first chunks are not slowed down by the reads of all members.
   */
  readonly readsAtOnce: boolean;
  /** Whether chunks are fetched rarest first; otherwise in their order. */
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
 * `swarm` is the plan for use; the others are there to be measured against it.
 */
export const rolloutPlans: Readonly<Record<PlanName, RolloutPlanFactory>> = {
  swarm: createSwarmPlan,
  origin: createOriginPlan,
  chain: createChainPlan,
  tree: createTreePlan,
};
