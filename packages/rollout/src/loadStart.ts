import { rendezvousOrder } from '@burdockrail/common/rendezvousHash.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Options of {@link loadStartAt}. */
export interface LoadStartOptions {
  /** Key that identifies the model and its version. */
  readonly versionKey: string;
  readonly self: string;
  /** All agents that take part, this one included. */
  readonly agents: readonly string[];
  readonly namedAt: Milliseconds;
  /** Time from `namedAt` after which only this version may be served, in milliseconds. */
  readonly switchTimeoutMilliseconds: number;
}

/** Part of that time over which the load starts of the engines are spread. */
const LOAD_WINDOW_SHARE = { from: 0.45, to: 0.87 } as const;

/**
 * Returns the time at which an engine that serves an older version should start to load the new one.
 *
 * @remarks
 * An engine accepts no requests while it drains for a load. If all drained at once, none would serve,
 * so the starts are staggered. All agents compute the same order, without any message.
 */
export function loadStartAt(options: LoadStartOptions): Milliseconds {
  const { versionKey, self, agents, namedAt, switchTimeoutMilliseconds } = options;
  const order = rendezvousOrder(versionKey, agents, (agent) => agent);
  const relativePosition = Math.max(0, order.indexOf(self)) / Math.max(1, order.length - 1);
  const share =
    LOAD_WINDOW_SHARE.from + relativePosition * (LOAD_WINDOW_SHARE.to - LOAD_WINDOW_SHARE.from);
  return namedAt + switchTimeoutMilliseconds * share;
}

/** Tracks how fast the chunks of a version arrive. */
export interface StagingProgress {
  /** Records the number of chunks held. */
  record(held: number, now: Milliseconds): void;
  /** Time at which all chunks will be held at the current rate; infinite while none arrive. */
  expectedCompletionAt(total: number, now: Milliseconds): Milliseconds;
}

/** Time over which the rate is measured, in milliseconds: several chunks on a narrow link. */
const RATE_WINDOW_MILLISECONDS = 1_000;

/**
 * Creates the progress of a version without any samples.
 *
 * @remarks
 * Estimates from arrivals instead of the link's rate: when the origin or a link fails, the rate would
 * predict the end of a stalled transfer, and the engine would stop accepting requests for it.
 */
export function createStagingProgress(): StagingProgress {
  let samples: readonly { readonly held: number; readonly at: Milliseconds }[] = [];
  return {
    record: (held, now) => {
      const isReset = held < (samples.at(-1)?.held ?? 0);
      const recent = isReset
        ? []
        : samples.filter(({ at }) => now - at <= RATE_WINDOW_MILLISECONDS);
      samples = [...recent, { held, at: now }];
    },
    expectedCompletionAt: (total, now) => {
      const [first, last] = [samples[0], samples.at(-1)];
      if (first === undefined || last === undefined) return Number.POSITIVE_INFINITY;
      if (last.held >= total) return now;
      const chunksPerMillisecond = (last.held - first.held) / Math.max(1, now - first.at);
      return chunksPerMillisecond === 0
        ? Number.POSITIVE_INFINITY
        : now + (total - last.held) / chunksPerMillisecond;
    },
  };
}
