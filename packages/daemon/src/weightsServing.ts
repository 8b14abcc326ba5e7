import type { Digest } from '@burdockrail/common/digest.js';
import type { Announcement, ServedVersion } from '@burdockrail/protocol/protocolMembership.js';

/** Progress of the version that is being transferred. */
export type AnnouncedRollout = NonNullable<Announcement['rollout']>;

/** Announced state of one engine: the version that it serves and the one being transferred. */
export interface WeightsServing {
  /** Version that the engine serves; null if none. */
  readonly served: ServedVersion | null;
  readonly rollout: AnnouncedRollout | null;
  /** True while the engine switches to other weights and accepts no attempts. */
  readonly isSwitching: boolean;
  /** Whether answers of these weights may be returned to callers. */
  readonly allows: (digest: Digest) => boolean;
  setServed(served: ServedVersion | null): void;
  setRollout(rollout: AnnouncedRollout | null): void;
  setSwitching(isSwitching: boolean): void;
  /** Allows answers of weights that were fully verified in the engine. */
  allow(digest: Digest): void;
}

/** Number of steps in which progress is announced, because each is sent to every entry. */
const PROGRESS_STEPS = 8;

function roundProgressDown(rollout: AnnouncedRollout): AnnouncedRollout {
  const { heldChunks, chunks } = rollout;
  const steps = Math.floor((heldChunks * PROGRESS_STEPS) / chunks);
  return { ...rollout, heldChunks: Math.floor((steps * chunks) / PROGRESS_STEPS) };
}

/**
 * Creates the state of an engine without weights.
 *
 * @param onChange - called after changes that have to be announced immediately.
 */
export function createWeightsServing(onChange: () => void): WeightsServing {
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
      onChange();
    },
    setRollout: (next) => {
      const mustAnnounce = rollout?.digest !== next?.digest || isStaged(rollout) !== isStaged(next);
      rollout = next === null ? null : roundProgressDown(next);
      if (mustAnnounce) onChange();
    },
    setSwitching: (next) => {
      if (isSwitching === next) return;
      isSwitching = next;
      onChange();
    },
  };
}
