import type { SeededRandom } from '@burdockrail/common/seededRandom.js';
import type { RoutingOption } from './routingRequest.js';

/** Names of the policies that choose among the nearest upstreams with spare capacity. */
export type RoutingPolicyName =
  'affinity' | 'leastEstimated' | 'leastInFlight' | 'leastReported' | 'powerOfTwo' | 'roundRobin';

/** Inputs of a policy other than the options. */
export interface PolicyContext {
  readonly random: SeededRandom;
  /** Number of choices made by this router. */
  readonly choiceCount: number;
  /** Key that is equal for equal requests; breaks ties between options. */
  readonly tieBreakKey: string;
}

/** Chooses an option; the list must not be empty. */
export type RoutingPolicy = (
  options: readonly RoutingOption[],
  context: PolicyContext,
) => RoutingOption | undefined;

/**
 * Load above the mean that is accepted for a cached prefix, as a share of the upstream's capacity.
 */
const AFFINITY_EXTRA_LOAD_SHARE = 0.25;

type Comparison = (left: RoutingOption, right: RoutingOption) => number;

const HASH_OFFSET = 0x811c9dc5;
const HASH_PRIME = 0x01000193;

/** Non-cryptographic hash (FNV-1a, 32 bits) that is the same in every process. */
function fnv1aHash(text: string): number {
  let hash = HASH_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), HASH_PRIME);
  }
  return hash >>> 0;
}

/**
 * Returns the least option; breaks ties by rendezvous hashing of the request's key.
 *
 * @remarks
 * Different requests spread evenly, and entries that receive the same request at the same time send
 * it to the same upstream, so that a request that crashes upstreams affects one and not several.
 */
function selectLeast(
  options: readonly RoutingOption[],
  compare: Comparison,
  { tieBreakKey: spreadKey }: PolicyContext,
): RoutingOption | undefined {
  let best: RoutingOption | undefined;
  let bestHash = 0;
  for (const option of options) {
    const comparison = best === undefined ? -1 : compare(option, best);
    if (comparison > 0) continue;
    const hash = fnv1aHash(`${option.agent}\0${spreadKey}`);
    if (comparison === 0 && hash <= bestHash) continue;
    best = option;
    bestHash = hash;
  }
  return best;
}

const byInFlight: Comparison = (left, right) =>
  left.inFlight - right.inFlight || left.reported - right.reported;

const byReported: Comparison = (left, right) => left.reported - right.reported;

const byEstimate: Comparison = (left, right) =>
  left.estimated / left.capacity - right.estimated / right.capacity ||
  left.inFlight - right.inFlight;

function powerOfTwo(
  options: readonly RoutingOption[],
  { random }: PolicyContext,
): RoutingOption | undefined {
  const first = options[random.nextInteger(options.length)];
  const second = options[random.nextInteger(options.length)];
  if (first === undefined || second === undefined) return first;
  return byEstimate(first, second) <= 0 ? first : second;
}

/**
 * Prefers the longest cached prefix among options loaded near the mean; otherwise the least load.
 */
function affinity(
  options: readonly RoutingOption[],
  context: PolicyContext,
): RoutingOption | undefined {
  const meanLoad = options.reduce((sum, option) => sum + option.estimated, 0) / options.length;
  const candidates = options.filter(
    (option) =>
      option.estimated <= meanLoad + Math.max(1, option.capacity * AFFINITY_EXTRA_LOAD_SHARE),
  );
  const longest = Math.max(0, ...candidates.map((option) => option.cachedBlocks));
  if (longest === 0) return selectLeast(options, byEstimate, context);
  const holders = candidates.filter((option) => option.cachedBlocks === longest);
  return selectLeast(holders, byEstimate, context);
}

/** All policies by name; docs/design/requestPath.md compares them. */
export const routingPolicies: Readonly<Record<RoutingPolicyName, RoutingPolicy>> = {
  affinity,
  leastEstimated: (options, context) => selectLeast(options, byEstimate, context),
  leastInFlight: (options, context) => selectLeast(options, byInFlight, context),
  leastReported: (options, context) => selectLeast(options, byReported, context),
  powerOfTwo,
  roundRobin: (options, { choiceCount }) => options[choiceCount % options.length],
};
