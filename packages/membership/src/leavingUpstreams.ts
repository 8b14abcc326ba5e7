import type { UpstreamIncarnation } from '@burdockrail/protocol/protocolDirectory.js';

/** Incarnations of upstreams that said themselves that they leave. */
export interface LeavingUpstreams {
  /** Records that an incarnation leaves; returns false if that was known. */
  add(incarnation: UpstreamIncarnation): boolean;
  has(incarnation: UpstreamIncarnation): boolean;
}

/**
 * Incarnations that are kept. The oldest are dropped, not those that the directory lacks, because a
 * control process may list a leaving upstream as ready again.
 */
const MAXIMUM_INCARNATIONS = 1_000;

function keyOf({ id, startedAt }: UpstreamIncarnation): string {
  return `${startedAt} ${id}`;
}

/** Creates an empty set. */
export function createLeavingUpstreams(): LeavingUpstreams {
  const keys = new Set<string>();
  return {
    add: (incarnation) => {
      const key = keyOf(incarnation);
      if (keys.has(key)) return false;
      keys.add(key);
      for (const oldest of keys) {
        if (keys.size <= MAXIMUM_INCARNATIONS) break;
        keys.delete(oldest);
      }
      return true;
    },
    has: (incarnation) => keys.has(keyOf(incarnation)),
  };
}
