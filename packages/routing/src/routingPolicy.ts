import type { SeededRandom } from '@burdockrail/common/seededRandom.js';
import type { RoutingOption } from './routingQuestion.js';

/** Names of the policies that choose among the nearest upstreams with room. */
export type RoutingPolicyName =
  'affinity' | 'leastEstimated' | 'leastInFlight' | 'leastReported' | 'powerOfTwo' | 'roundRobin';

/** What a policy may use besides the options. */
export interface PolicyContext {
  readonly random: SeededRandom;
  /** Counts the choices of this router. */
  readonly turn: number;
  /** Text that is equal for equal requests. */
  readonly spreadKey: string;
}

/** Chooses one of at least one option. */
export type RoutingPolicy = (
  options: readonly RoutingOption[],
  context: PolicyContext,
) => RoutingOption | undefined;

/** Requests above the mean that a cached prefix is worth, as a share of the upstream's capacity. */
const AFFINITY_SLACK_SHARE = 0.25;

type Comparison = (left: RoutingOption, right: RoutingOption) => number;

const HASH_OFFSET = 0x811c9dc5;
const HASH_PRIME = 0x01000193;

/** A cheap hash (FNV-1a, 32 bits), the same in every process. */
function hashOf(text: string): number {
  let hash = HASH_OFFSET;
  for (let place = 0; place < text.length; place += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(place), HASH_PRIME);
  }
  return hash >>> 0;
}

/**
 * The least option.
 *
 * @remarks
 * Among equals the content of the request decides: different requests spread evenly, and entries
 * that get the same request at the same time send it to the same upstream, so that one which
 * crashes upstreams takes one with it and not several.
 */
function least(
  options: readonly RoutingOption[],
  compare: Comparison,
  { spreadKey }: PolicyContext,
): RoutingOption | undefined {
  let best: RoutingOption | undefined;
  let bestHash = 0;
  for (const option of options) {
    const order = best === undefined ? -1 : compare(option, best);
    if (order > 0) continue;
    const hash = hashOf(`${option.agent}\0${spreadKey}`);
    if (order === 0 && hash <= bestHash) continue;
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
  const first = options[random.below(options.length)];
  const second = options[random.below(options.length)];
  if (first === undefined || second === undefined) return first;
  return byEstimate(first, second) <= 0 ? first : second;
}

/** The longest cached prefix among the options whose load is near the mean; else the least load. */
function affinity(
  options: readonly RoutingOption[],
  context: PolicyContext,
): RoutingOption | undefined {
  const mean = options.reduce((sum, option) => sum + option.estimated, 0) / options.length;
  const near = options.filter(
    (option) => option.estimated <= mean + Math.max(1, option.capacity * AFFINITY_SLACK_SHARE),
  );
  const longest = Math.max(0, ...near.map((option) => option.cachedBlocks));
  if (longest === 0) return least(options, byEstimate, context);
  const holders = near.filter((option) => option.cachedBlocks === longest);
  return least(holders, byEstimate, context);
}

/** All policies by name; measured against each other in docs/design/requestPath.md. */
export const routingPolicies: Readonly<Record<RoutingPolicyName, RoutingPolicy>> = {
  affinity,
  leastEstimated: (options, context) => least(options, byEstimate, context),
  leastInFlight: (options, context) => least(options, byInFlight, context),
  leastReported: (options, context) => least(options, byReported, context),
  powerOfTwo,
  roundRobin: (options, { turn }) => options[turn % options.length],
};
