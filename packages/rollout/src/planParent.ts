import type { RolloutLayout } from './rolloutLayout.js';
import type { RolloutPlan } from './rolloutPlan.js';

/**
 * Plan in which each member takes every chunk from one parent.
 *
 * @param parentPosition - gives the place of the parent in the order of the members; a negative
 *   one stands for the origin.
 */
export function createParentPlan(
  layout: RolloutLayout,
  parentPosition: (position: number) => number,
): RolloutPlan {
  const ordered = [...layout.members].sort(
    (left, right) =>
      compare(left.region, right.region) ||
      compare(left.dataCentre, right.dataCentre) ||
      compare(left.agent, right.agent),
  );
  const parent = ordered[parentPosition(ordered.indexOf(layout.self))]?.agent;
  if (parent === undefined) {
    return {
      watched: new Set(),
      sources: () => [{ kind: 'origin' }],
      readsAtOnce: true,
      rarestFirst: false,
    };
  }
  return {
    watched: new Set([parent]),
    sources: ({ holders }) => (holders.includes(parent) ? [{ kind: 'peer', agent: parent }] : []),
    readsAtOnce: true,
    rarestFirst: false,
  };
}

function compare(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
