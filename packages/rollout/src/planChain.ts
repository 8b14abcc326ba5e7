import { createParentPlan } from './planParent.js';
import type { RolloutLayout } from './rolloutLayout.js';
import type { RolloutPlan } from './rolloutPlan.js';

/** Creates a plan in which the first member reads from the origin, each other from its predecessor. */
export function createChainPlan(layout: RolloutLayout): RolloutPlan {
  return createParentPlan(layout, (position) => position - 1);
}
