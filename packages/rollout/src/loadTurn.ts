import { rendezvousOrder } from '@burdockrail/common/rendezvousHash.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** What an engine's turn to load a version depends on. */
export interface LoadTurnQuestion {
  /** Names model and version. */
  readonly set: string;
  readonly self: string;
  /** All agents that take part, this one included. */
  readonly agents: readonly string[];
  readonly namedAt: Milliseconds;
  /** Time within which the version has to be the only one served, in milliseconds. */
  readonly boundMilliseconds: number;
}

/** Part of the time for a version over which engines take their turns. */
const TURNS_SHARE = { from: 0.45, to: 0.8 } as const;

/**
 * Time at which an engine that serves an older version should begin to load.
 *
 * @remarks
 * Answers a version that is named under full load: an engine takes nothing new while it drains, and
 * all of them at once would serve nobody. All agents compute the same order.
 */
export function loadTurnAt(question: LoadTurnQuestion): Milliseconds {
  const { set, self, agents, namedAt, boundMilliseconds } = question;
  const order = rendezvousOrder(set, agents, (agent) => agent);
  const place = Math.max(0, order.indexOf(self)) / Math.max(1, order.length - 1);
  const share = TURNS_SHARE.from + place * (TURNS_SHARE.to - TURNS_SHARE.from);
  return namedAt + boundMilliseconds * share;
}

/** How fast a version's chunks come. */
export interface StagingProgress {
  /** Takes how many chunks are there now. */
  note(held: number, now: Milliseconds): void;
  /** Time at which all will be there at the present pace; infinite while none come. */
  expectedAt(total: number, now: Milliseconds): Milliseconds;
}

/** Time over which the pace is taken, in milliseconds: several chunks of a thin link. */
const PACE_MILLISECONDS = 1_000;

/**
 * Creates the progress of a version of which nothing is known.
 *
 * @remarks
 * Answers an origin or a link that fails while a version is on its way: the link's rate would
 * promise the end of a transfer that stands still, and the engine would stop taking requests for it.
 */
export function createStagingProgress(): StagingProgress {
  let samples: readonly { readonly held: number; readonly at: Milliseconds }[] = [];
  return {
    note: (held, now) => {
      const isReset = held < (samples.at(-1)?.held ?? 0);
      const kept = isReset ? [] : samples.filter(({ at }) => now - at <= PACE_MILLISECONDS);
      samples = [...kept, { held, at: now }];
    },
    expectedAt: (total, now) => {
      const [first, last] = [samples[0], samples.at(-1)];
      if (first === undefined || last === undefined) return Number.POSITIVE_INFINITY;
      if (last.held >= total) return now;
      const pace = (last.held - first.held) / Math.max(1, now - first.at);
      return pace === 0 ? Number.POSITIVE_INFINITY : now + (total - last.held) / pace;
    },
  };
}
