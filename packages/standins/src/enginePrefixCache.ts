import type { Digest } from '@burdockrail/common/digest.js';
import { createSeededRandom } from '@burdockrail/common/seededRandom.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Change of the prefix cache that the engine publishes. */
export interface CacheEvent {
  readonly kind: 'stored' | 'evicted';
  readonly prefix: Digest;
}

/** One page of cache events. */
export interface CacheEventPage {
  /** Position from which to request the next page. */
  readonly next: number;
  readonly events: readonly CacheEvent[];
}

/** Prefix cache of bounded size with least-recently-used eviction. */
export interface PrefixCache {
  /** Looks up and stores the prefixes of a prompt; returns how many of them were not cached. */
  use(prefixes: readonly Digest[], now: Milliseconds): number;
  /** Events published after a position; publication is delayed, and some events are lost. */
  eventsSince(position: number, now: Milliseconds): CacheEventPage;
  clear(now: Milliseconds): void;
  /** Share of the capacity in use, 0 to 1. */
  readonly usedShare: number;
}

/** Options of {@link createPrefixCache}. */
export interface PrefixCacheOptions {
  readonly capacityBlocks: number;
  readonly eventLagMilliseconds: number;
  /** Share of events that are never published, 0 to 1. */
  readonly eventLoss: number;
}

interface RecordedEvent extends CacheEvent {
  readonly position: number;
  readonly at: Milliseconds;
}

const MAXIMUM_RECORDED_EVENTS = 10_000;
const LOSS_SEED = 11;

/** Creates an empty cache. */
export function createPrefixCache(options: PrefixCacheOptions): PrefixCache {
  const blocks = new Map<Digest, true>();
  const random = createSeededRandom(LOSS_SEED);
  let recorded: RecordedEvent[] = [];
  let lastPosition = 0;

  const record = (kind: CacheEvent['kind'], prefix: Digest, at: Milliseconds): void => {
    lastPosition += 1;
    if (random.next() < options.eventLoss) return;
    recorded.push({ kind, prefix, position: lastPosition, at });
    if (recorded.length > 2 * MAXIMUM_RECORDED_EVENTS)
      recorded = recorded.slice(-MAXIMUM_RECORDED_EVENTS);
  };

  const store = (prefix: Digest, now: Milliseconds): void => {
    blocks.set(prefix, true);
    record('stored', prefix, now);
    if (blocks.size <= options.capacityBlocks) return;
    const oldest = blocks.keys().next().value;
    if (oldest === undefined) return;
    blocks.delete(oldest);
    record('evicted', oldest, now);
  };

  return {
    use: (prefixes, now) => {
      let missing = 0;
      for (const prefix of prefixes) {
        if (blocks.delete(prefix)) {
          blocks.set(prefix, true);
          continue;
        }
        missing += 1;
        store(prefix, now);
      }
      return missing;
    },
    eventsSince: (since, now) => {
      const published = recorded.filter((event) => event.at + options.eventLagMilliseconds <= now);
      const events = published.filter((event) => event.position > since);
      return {
        next: events.at(-1)?.position ?? Math.min(since, lastPosition),
        events: events.map(({ kind, prefix }) => ({ kind, prefix })),
      };
    },
    clear: (now) => {
      for (const prefix of blocks.keys()) record('evicted', prefix, now);
      blocks.clear();
    },
    get usedShare() {
      return blocks.size / options.capacityBlocks;
    },
  };
}
