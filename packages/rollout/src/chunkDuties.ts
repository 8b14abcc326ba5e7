import { rendezvousOrder } from '@burdockrail/common/rendezvousHash.js';

/** An agent that takes part in bringing up a version. */
export interface ChunkPeer {
  readonly agent: string;
  readonly region: string;
}

/** Places of this agent in the orders in which agents are responsible for a chunk. */
export interface ChunkDuty {
  /** Place among all agents, for fetching from the origin; 0 for the owner. */
  readonly amongAll: number;
  /** Place among the agents of the own region, for fetching from another region. */
  readonly inRegion: number;
}

/** Who is responsible for which chunk. */
export interface ChunkDuties {
  of(chunk: number): ChunkDuty;
}

/**
 * Creates the duties of one agent. All agents compute the same plan, so no message is needed to
 * agree on it.
 *
 * @param set - names model and version.
 * @param others - the other agents that take part.
 */
export function createChunkDuties(
  set: string,
  self: ChunkPeer,
  others: readonly ChunkPeer[],
): ChunkDuties {
  const members = [...others, self];
  const known = new Map<number, ChunkDuty>();

  const compute = (chunk: number): ChunkDuty => {
    const order = rendezvousOrder(`${set} ${chunk}`, members, ({ agent }) => agent);
    const near = order.filter(({ region }) => region === self.region);
    const placeIn = (peers: readonly ChunkPeer[]): number =>
      peers.findIndex(({ agent }) => agent === self.agent);
    return { amongAll: placeIn(order), inRegion: placeIn(near) };
  };

  return {
    of: (chunk) => {
      const former = known.get(chunk);
      if (former !== undefined) return former;
      const duty = compute(chunk);
      known.set(chunk, duty);
      return duty;
    },
  };
}
