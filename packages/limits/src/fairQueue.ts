/** One waiting request of a team. */
export interface QueuedItem<Item> {
  readonly team: string;
  /** Share of the team; larger ones go ahead more often. */
  readonly weight: number;
  /** Order within the team; larger ones go first. */
  readonly priority: number;
  readonly item: Item;
}

/** Requests that wait for capacity, served by the shares of their teams. */
export interface FairQueue<Item> {
  readonly size: number;
  /** Requests of a team that wait. */
  sizeOf(team: string): number;
  push(entry: QueuedItem<Item>): void;
  /** Takes the request that is next; undefined when none waits. */
  pop(): Item | undefined;
  remove(item: Item): void;
}

interface TeamQueue<Item> {
  readonly entries: QueuedItem<Item>[];
  /** Virtual time at which the team's next request is due. */
  due: number;
}

/**
 * Creates an empty queue.
 *
 * @remarks
 * Start-time fair queueing: each request moves its team's due time on by the inverse of its
 * weight, the earliest due time goes first, and a team that was idle starts at the present virtual
 * time, so it neither saves up nor owes anything.
 */
export function createFairQueue<Item>(): FairQueue<Item> {
  const teams = new Map<string, TeamQueue<Item>>();
  let virtualTime = 0;
  let size = 0;

  const queueOf = (team: string): TeamQueue<Item> => {
    const known = teams.get(team) ?? { entries: [], due: virtualTime };
    teams.set(team, known);
    if (known.entries.length === 0) known.due = Math.max(known.due, virtualTime);
    return known;
  };

  const next = (): TeamQueue<Item> | undefined => {
    let earliest: TeamQueue<Item> | undefined;
    for (const queue of teams.values()) {
      if (queue.entries.length === 0) continue;
      if (earliest === undefined || queue.due < earliest.due) earliest = queue;
    }
    return earliest;
  };

  return {
    get size() {
      return size;
    },
    sizeOf: (team) => teams.get(team)?.entries.length ?? 0,
    push: (entry) => {
      const { entries } = queueOf(entry.team);
      const place = entries.findIndex((other) => other.priority < entry.priority);
      entries.splice(place === -1 ? entries.length : place, 0, entry);
      size += 1;
    },
    pop: () => {
      const queue = next();
      const entry = queue?.entries.shift();
      if (queue === undefined || entry === undefined) return undefined;
      size -= 1;
      virtualTime = queue.due;
      queue.due += 1 / entry.weight;
      return entry.item;
    },
    remove: (item) => {
      for (const { entries } of teams.values()) {
        const place = entries.findIndex((entry) => entry.item === item);
        if (place === -1) continue;
        entries.splice(place, 1);
        size -= 1;
        return;
      }
    },
  };
}
