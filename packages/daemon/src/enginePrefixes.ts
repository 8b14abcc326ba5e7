import type { EngineEvents } from './engineClient.js';

/** Maximum number of prefix digests in an announcement; every entry stores them. */
const MAXIMUM_PREFIXES = 32;

/** Prefixes in an engine's cache, as known from its events. */
export interface CachedPrefixes {
  apply(events: EngineEvents['events']): void;
  /** Returns the most recently stored prefixes, sorted. */
  listNewest(): readonly string[];
  clear(): void;
}

/**
 * Creates an empty set.
 *
 * @remarks
 * When events were lost, the set may contain a prefix that the engine has evicted. That costs one
 * cache miss, whereas clearing the set after each gap would lose most of the cache hits.
 */
export function createCachedPrefixes(): CachedPrefixes {
  const stored = new Set<string>();

  const add = (prefix: string): void => {
    stored.delete(prefix);
    stored.add(prefix);
    const [oldest] = stored;
    if (stored.size > MAXIMUM_PREFIXES && oldest !== undefined) stored.delete(oldest);
  };

  return {
    apply: (events) => {
      for (const event of events) {
        if (event.kind === 'stored') add(event.prefix);
        else stored.delete(event.prefix);
      }
    },
    listNewest: () => [...stored].sort(),
    clear: () => {
      stored.clear();
    },
  };
}
