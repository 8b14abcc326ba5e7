import { rendezvousOrder } from '@burdockrail/common/rendezvousHash.js';

/** An agent that may pass on chunks of a version. */
export interface ChunkHolder {
  readonly agent: string;
  readonly region: string;
  /** True when its engine is known to serve the version, so that it holds all chunks. */
  readonly holdsAll: boolean;
}

/** A place to fetch a chunk from. */
export type ChunkSource =
  | { readonly kind: 'origin' }
  | { readonly kind: 'agent'; readonly agent: string };

/** What the choice of sources depends on. */
export interface ChunkSourceQuestion {
  readonly self: string;
  readonly region: string;
  /** Names the chunk, with model and version. */
  readonly chunk: string;
  /** All agents that take part, this one included. */
  readonly agents: readonly ChunkHolder[];
}

function source(holder: ChunkHolder): ChunkSource {
  return { kind: 'agent', agent: holder.agent };
}

/**
 * Sources of a chunk in the order in which an agent should try them.
 *
 * @remarks
 * Answers a version that is named while links are thin. One agent fetches each chunk from the
 * origin, one agent in each further region fetches it from that one, and all others fetch it
 * inside their region. All agents compute the same plan, so no message is needed to agree on it.
 * Holders of the whole version go first, so an engine that is added later costs the origin nothing.
 */
export function chunkSources(question: ChunkSourceQuestion): readonly ChunkSource[] {
  const { self, region, chunk } = question;
  const order = rendezvousOrder(chunk, question.agents, ({ agent }) => agent);
  const others = order.filter(({ agent }) => agent !== self);
  const near = others.filter((holder) => holder.region === region);
  const nearHolders = near.filter(({ holdsAll }) => holdsAll);
  const farHolders = others.filter((holder) => holder.holdsAll && holder.region !== region);
  const [owner] = order;
  const regionOwner = order.find((holder) => holder.region === region);
  const origin: ChunkSource = { kind: 'origin' };
  if (nearHolders.length > 0) return [...nearHolders.map(source), origin];
  if (farHolders.length > 0 && regionOwner?.agent === self) {
    return [...farHolders.map(source), origin];
  }
  if (owner === undefined || owner.agent === self) return [origin];
  if (regionOwner === undefined || regionOwner.agent === self) return [source(owner), origin];
  return [source(regionOwner), source(owner), origin];
}
