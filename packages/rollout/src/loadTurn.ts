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

const MILLISECONDS_PER_SECOND = 1_000;

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

/** Time at which the missing chunks will have come over a link of a given rate. */
export function expectedStagedAt(
  missingChunks: number,
  chunkBytes: number,
  bytesPerSecond: number,
  now: Milliseconds,
): Milliseconds {
  return now + (missingChunks * chunkBytes * MILLISECONDS_PER_SECOND) / bytesPerSecond;
}
