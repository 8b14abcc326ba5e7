import { createParentPlan } from './planParent.js';
import type { RolloutLayout } from './rolloutLayout.js';
import type { RolloutPlan } from './rolloutPlan.js';

/** The first member reads from the origin; every member feeds two others. */
export function createTreePlan(layout: RolloutLayout): RolloutPlan {
  return createParentPlan(layout, (position) => Math.ceil(position / 2) - 1);
}
