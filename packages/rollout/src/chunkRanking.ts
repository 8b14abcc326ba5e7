import { rendezvousOrder } from '@burdockrail/common/rendezvousHash.js';

/** An agent that takes part in the rollout of a version. */
export interface ChunkPeer {
  readonly agent: string;
  readonly region: string;
}

/** Positions of this agent in the takeover orders of a chunk; 0 is the owner. */
export interface ChunkRank {
  /** Position among all agents, for fetching from the origin. */
  readonly global: number;
  /** Position among the agents of the same region, for fetching from another region. */
  readonly regional: number;
}

/** Ranks of one agent for all chunks, by rendezvous hash. */
export interface ChunkRanking {
  rankOf(chunk: number): ChunkRank;
}

/**
 * Creates the ranking of one agent. All agents with the same members compute the same orders, so no
 * message is needed to agree on them.
 *
 * @param versionKey - identifies model and version.
 * @param others - the other agents that take part.
 */
export function createChunkRanking(
  versionKey: string,
  self: ChunkPeer,
  others: readonly ChunkPeer[],
): ChunkRanking {
  const members = [...others, self];
  const cache = new Map<number, ChunkRank>();

  const compute = (chunk: number): ChunkRank => {
    const ordered = rendezvousOrder(`${versionKey} ${chunk}`, members, ({ agent }) => agent);
    const sameRegion = ordered.filter(({ region }) => region === self.region);
    const positionIn = (peers: readonly ChunkPeer[]): number =>
      peers.findIndex(({ agent }) => agent === self.agent);
    return { global: positionIn(ordered), regional: positionIn(sameRegion) };
  };

  return {
    rankOf: (chunk) => {
      const cached = cache.get(chunk);
      if (cached !== undefined) return cached;
      const rank = compute(chunk);
      cache.set(chunk, rank);
      return rank;
    },
  };
}
