import type { Digest } from '@burdockrail/common/digest.js';
import type { Announcement, ServedVersion } from '@burdockrail/protocol/protocolMembership.js';

/** Progress of the version that is being fetched. */
export type AnnouncedRollout = NonNullable<Announcement['rollout']>;

/** What one engine serves and fetches, as it is announced. */
export interface WeightsServing {
  /** Weights that the engine serves; null when none are live. */
  readonly served: ServedVersion | null;
  readonly rollout: AnnouncedRollout | null;
  /** True while the engine is switched to other weights and takes no attempts. */
  readonly isSwitching: boolean;
  /** Tells whether answers of these weights may be given to callers. */
  readonly allows: (digest: Digest) => boolean;
  setServed(served: ServedVersion | null): void;
  setRollout(rollout: AnnouncedRollout | null): void;
  setSwitching(isSwitching: boolean): void;
  /** Allows answers of weights that were verified as a whole in the engine. */
  allow(digest: Digest): void;
}

/** Steps in which progress is announced; every entry is told of each. */
const ANNOUNCED_STEPS = 8;

function inSteps(rollout: AnnouncedRollout): AnnouncedRollout {
  const { heldChunks, chunks } = rollout;
  const steps = Math.floor((heldChunks * ANNOUNCED_STEPS) / chunks);
  return { ...rollout, heldChunks: Math.floor((steps * chunks) / ANNOUNCED_STEPS) };
}

/**
 * Creates the state of an engine without weights.
 *
 * @param changed - called when entries should learn of a change at once.
 */
export function createWeightsServing(changed: () => void): WeightsServing {
  const allowed = new Set<Digest>();
  let served: ServedVersion | null = null;
  let rollout: AnnouncedRollout | null = null;
  let isSwitching = false;
  const isStaged = (state: AnnouncedRollout | null): boolean =>
    state !== null && state.heldChunks === state.chunks;

  return {
    get served() {
      return served;
    },
    get rollout() {
      return rollout;
    },
    get isSwitching() {
      return isSwitching;
    },
    allows: (digest) => allowed.has(digest),
    allow: (digest) => {
      allowed.add(digest);
    },
    setServed: (next) => {
      served = next;
      if (next !== null) allowed.add(next.digest);
      changed();
    },
    setRollout: (next) => {
      const isNews = rollout?.digest !== next?.digest || isStaged(rollout) !== isStaged(next);
      rollout = next === null ? null : inSteps(next);
      if (isNews) changed();
    },
    setSwitching: (next) => {
      if (isSwitching === next) return;
      isSwitching = next;
      changed();
    },
  };
}
