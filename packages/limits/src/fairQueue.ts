/** A waiting request. */
export interface QueuedRequest {
  readonly id: string;
  readonly team: string;
}

/** A waiting request with the virtual start time that orders it. */
interface QueuedItem extends QueuedRequest {
  readonly startTag: number;
}

/**
 * A queue that serves teams in proportion to their shares.
 *
 * @remarks
 * Implements start-time fair queueing: in virtual time each request starts when its team's previous
 * request finishes, and takes 1 / share. An idle team accrues no credit.
 */
export interface FairQueue {
  readonly length: number;
  /** Waiting requests of one team. */
  lengthOf(team: string): number;
  push(id: string, team: string, share: number): void;
  /** Removes and returns the next request among those of the eligible teams. */
  pop(isEligible: (team: string) => boolean): QueuedRequest | undefined;
  /** Removes a request; returns whether it was waiting. */
  remove(id: string): boolean;
}

/** Most teams whose finish tag is kept; the least recently queued are dropped. */
const MAXIMUM_TRACKED_TEAMS = 1_024;

/** Creates an empty queue. */
export function createFairQueue(): FairQueue {
  let items: readonly QueuedItem[] = [];
  const finishTags = new Map<string, number>();
  let virtualTime = 0;

  const nextStartTag = (team: string, share: number): number => {
    const startTag = Math.max(virtualTime, finishTags.get(team) ?? 0);
    finishTags.delete(team);
    finishTags.set(team, startTag + 1 / share);
    const [oldest] = finishTags.keys();
    if (finishTags.size > MAXIMUM_TRACKED_TEAMS && oldest !== undefined) finishTags.delete(oldest);
    return startTag;
  };

  return {
    get length() {
      return items.length;
    },
    lengthOf: (team) => items.filter((item) => item.team === team).length,
    push: (id, team, share) => {
      const startTag = nextStartTag(team, share);
      const firstLaterIndex = items.findIndex((item) => item.startTag > startTag);
      const index = firstLaterIndex < 0 ? items.length : firstLaterIndex;
      items = [...items.slice(0, index), { id, team, startTag }, ...items.slice(index)];
    },
    pop: (isEligible) => {
      const next = items.find((item) => isEligible(item.team));
      if (next === undefined) return undefined;
      items = items.filter((item) => item !== next);
      virtualTime = Math.max(virtualTime, next.startTag);
      return next;
    },
    remove: (id) => {
      const before = items.length;
      items = items.filter((item) => item.id !== id);
      return items.length < before;
    },
  };
}
