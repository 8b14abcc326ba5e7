/** A request that waits. */
export interface QueuedRequest {
  readonly id: string;
  readonly team: string;
}

/** A request that waits, with the tag that orders it. */
interface QueuedItem extends QueuedRequest {
  readonly startTag: number;
}

/**
 * A queue that serves teams in proportion to their shares.
 *
 * @remarks
 * Start-time fair queueing: each request starts, in virtual time, when the request of its team
 * before it has finished, and a request takes one over the team's share. A team that was idle
 * gains no credit for that time.
 */
export interface FairQueue {
  readonly length: number;
  /** Waiting requests of one team. */
  lengthOf(team: string): number;
  push(id: string, team: string, share: number): void;
  /** Takes the request that is next among those of the eligible teams. */
  pop(isEligible: (team: string) => boolean): QueuedRequest | undefined;
  /** Takes a request out; returns whether it waited. */
  remove(id: string): boolean;
}

/** Teams whose last tag is remembered after they left the queue. */
const IDLE_TEAMS_REMEMBERED = 1_024;

/** Creates an empty queue. */
export function createFairQueue(): FairQueue {
  let items: readonly QueuedItem[] = [];
  const finishTags = new Map<string, number>();
  let virtualTime = 0;

  const tagFor = (team: string, share: number): number => {
    const startTag = Math.max(virtualTime, finishTags.get(team) ?? 0);
    finishTags.delete(team);
    finishTags.set(team, startTag + 1 / share);
    const [oldest] = finishTags.keys();
    if (finishTags.size > IDLE_TEAMS_REMEMBERED && oldest !== undefined) finishTags.delete(oldest);
    return startTag;
  };

  return {
    get length() {
      return items.length;
    },
    lengthOf: (team) => items.filter((item) => item.team === team).length,
    push: (id, team, share) => {
      const startTag = tagFor(team, share);
      const place = items.findIndex((item) => item.startTag > startTag);
      const at = place < 0 ? items.length : place;
      items = [...items.slice(0, at), { id, team, startTag }, ...items.slice(at)];
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
