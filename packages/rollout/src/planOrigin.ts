import type { RolloutPlan } from './rolloutPlan.js';

/** Creates a plan in which every member reads every chunk from the origin. */
export function createOriginPlan(): RolloutPlan {
  return {
    watched: new Set(),
    sources: () => [{ kind: 'origin' }],
    readsOriginImmediately: true,
    rarestFirst: false,
  };
}
