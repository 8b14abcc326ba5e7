import type { RolloutLayout } from './rolloutLayout.js';
import type { RolloutPlan } from './rolloutPlan.js';

/**
 * Creates a plan in which each member fetches every chunk from one parent.
 *
 * @param parentPositionOf - maps the position of a member, ordered by region, data centre and name,
 *   to that of its parent; a negative result stands for the origin.
 */
export function createParentPlan(
  layout: RolloutLayout,
  parentPositionOf: (position: number) => number,
): RolloutPlan {
  const ordered = [...layout.members].sort(
    (left, right) =>
      compare(left.region, right.region) ||
      compare(left.dataCentre, right.dataCentre) ||
      compare(left.agent, right.agent),
  );
  const parent = ordered[parentPositionOf(ordered.indexOf(layout.self))]?.agent;
  if (parent === undefined) {
    return {
      watched: new Set(),
      sources: () => [{ kind: 'origin' }],
      readsOriginImmediately: true,
      rarestFirst: false,
    };
  }
  return {
    watched: new Set([parent]),
    sources: ({ holders }) => (holders.includes(parent) ? [{ kind: 'peer', agent: parent }] : []),
    readsOriginImmediately: true,
    rarestFirst: false,
  };
}

function compare(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
