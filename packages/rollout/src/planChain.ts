import { createParentPlan } from './planParent.js';
import type { RolloutLayout } from './rolloutLayout.js';
import type { RolloutPlan } from './rolloutPlan.js';

/** The first member reads from the origin, and each other one from the member before it. */
export function createChainPlan(layout: RolloutLayout): RolloutPlan {
  return createParentPlan(layout, (position) => position - 1);
}
