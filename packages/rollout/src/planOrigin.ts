import type { RolloutPlan } from './rolloutPlan.js';

/** Every member reads every chunk from the origin. */
export function createOriginPlan(): RolloutPlan {
  return {
    watched: new Set(),
    sources: () => [{ kind: 'origin' }],
    readsAtOnce: true,
    rarestFirst: false,
  };
}
