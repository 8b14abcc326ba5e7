import type { EngineEvents } from './engineClient.js';

/** Prefixes that an announcement carries; each is a digest, and all entries keep them. */
const MAXIMUM_PREFIXES = 32;

/** Prefixes that an engine's cache holds, as far as its events tell. */
export interface PrefixSet {
  apply(events: EngineEvents['events']): void;
  /** The prefixes stored last, in order of their names. */
  newest(): readonly string[];
  clear(): void;
}

/**
 * Creates an empty set.
 *
 * @remarks
 * Events that were lost may leave a prefix in the set that the engine has evicted; that costs a
 * cache miss, while dropping all after each gap would cost most of the hits.
 */
export function createPrefixSet(): PrefixSet {
  const stored = new Set<string>();

  const store = (prefix: string): void => {
    stored.delete(prefix);
    stored.add(prefix);
    const [oldest] = stored;
    if (stored.size > MAXIMUM_PREFIXES && oldest !== undefined) stored.delete(oldest);
  };

  return {
    apply: (events) => {
      for (const event of events) {
        if (event.kind === 'stored') store(event.prefix);
        else stored.delete(event.prefix);
      }
    },
    newest: () => [...stored].sort(),
    clear: () => {
      stored.clear();
    },
  };
}
