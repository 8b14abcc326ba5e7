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
}

/** Chooses one of at least one option. */
export type RoutingPolicy = (
  options: readonly RoutingOption[],
  context: PolicyContext,
) => RoutingOption | undefined;

/** Requests above the mean that a cached prefix is worth, as a share of the upstream's capacity. */
const AFFINITY_SLACK_SHARE = 0.25;

type Comparison = (left: RoutingOption, right: RoutingOption) => number;

/** The least option; among equals a random one, so that entries do not all choose the same. */
function least(
  options: readonly RoutingOption[],
  compare: Comparison,
  random: SeededRandom,
): RoutingOption | undefined {
  let best: RoutingOption | undefined;
  let equals = 0;
  for (const option of options) {
    const order = best === undefined ? -1 : compare(option, best);
    if (order > 0) continue;
    equals = order < 0 ? 1 : equals + 1;
    if (order < 0 || random.below(equals) === 0) best = option;
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
  { random }: PolicyContext,
): RoutingOption | undefined {
  const mean = options.reduce((sum, option) => sum + option.estimated, 0) / options.length;
  const near = options.filter(
    (option) => option.estimated <= mean + Math.max(1, option.capacity * AFFINITY_SLACK_SHARE),
  );
  const longest = Math.max(0, ...near.map((option) => option.cachedBlocks));
  if (longest === 0) return least(options, byEstimate, random);
  const holders = near.filter((option) => option.cachedBlocks === longest);
  return least(holders, byEstimate, random);
}

/** All policies by name; measured against each other in docs/design/requestPath.md. */
export const routingPolicies: Readonly<Record<RoutingPolicyName, RoutingPolicy>> = {
  affinity,
  leastEstimated: (options, { random }) => least(options, byEstimate, random),
  leastInFlight: (options, { random }) => least(options, byInFlight, random),
  leastReported: (options, { random }) => least(options, byReported, random),
  powerOfTwo,
  roundRobin: (options, { turn }) => options[turn % options.length],
};
