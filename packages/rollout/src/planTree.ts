import { createParentPlan } from './planParent.js';
import type { RolloutLayout } from './rolloutLayout.js';
import type { RolloutPlan } from './rolloutPlan.js';

/** Creates a plan that is a binary tree; its root reads from the origin. */
export function createTreePlan(layout: RolloutLayout): RolloutPlan {
  return createParentPlan(layout, (position) => Math.ceil(position / 2) - 1);
}
