import { digestOf, type Digest } from '@burdockrail/common/digest.js';
import { distanceBetween, findMember, type RolloutLayout } from './rolloutLayout.js';
import { createRolloutOrder, memberHash, pairScore, type RolloutOrder } from './rolloutOrder.js';
import type { ChunkSource, RolloutPlan, SourceQuery } from './rolloutPlan.js';

/** Maximum number of peers in its own data centre that an agent exchanges chunks with. */
const MAXIMUM_NEIGHBOURS = 16;

/** Maximum number of neighbours that are preferred because they hold all chunks. */
const MAXIMUM_COMPLETE_NEIGHBOURS = 4;

/** Members that read from the origin from the start. */
const IMMEDIATE_ORIGIN_READERS = 4;

/** What an agent does for one chunk besides fetching it from its neighbours. */
type ChunkRole =
  | { readonly kind: 'none' }
  /** Fetches the chunk into its data centre from a peer outside. */
  | { readonly kind: 'import'; readonly from: string }
  /** Reads the chunk from the origin. */
  | { readonly kind: 'read' };

/** Chooses the neighbours; as pair scores are symmetric, most choices are mutual. */
function chooseNeighbours(layout: RolloutLayout): readonly string[] {
  const ownHash = memberHash(layout.self.agent);
  const local = layout.members
    .filter((member) => member !== layout.self)
    .filter((member) => distanceBetween(layout.self, member) === 'data-centre')
    .map((member) => ({ member, score: pairScore(ownHash, memberHash(member.agent)) }))
    .sort((left, right) => right.score - left.score);
  const complete = local
    .filter(({ member }) => member.isComplete)
    .slice(0, MAXIMUM_COMPLETE_NEIGHBOURS);
  const others = local.filter((candidate) => !complete.includes(candidate));
  return [...complete, ...others].slice(0, MAXIMUM_NEIGHBOURS).map(({ member }) => member.agent);
}

function roleFor(layout: RolloutLayout, order: RolloutOrder, chunk: Digest): ChunkRole {
  const { self } = layout;
  const leaders = order.leaders(chunk);
  if (leaders.ofDataCentre !== self) return { kind: 'none' };
  const complete = order.completeSource(chunk);
  if (complete !== undefined) return { kind: 'import', from: complete.agent };
  if (leaders.ofRegion !== self) return { kind: 'import', from: leaders.ofRegion.agent };
  if (leaders.overall !== self) return { kind: 'import', from: leaders.overall.agent };
  return { kind: 'read' };
}

function peerSource(agent: string): ChunkSource {
  return { kind: 'peer', agent };
}

/**
 * Creates a plan in which every chunk is read once from the origin, sent once into every further
 * region and data centre, and exchanged between neighbours within a data centre.
 *
 * @remarks
 * Leaders are chosen for each chunk by rendezvous hashing, so that origin reads, transfers between
 * data centres and uploads are spread evenly over all members. When no chunk arrives for a takeover
 * timeout, a member fetches from any watched holder or, in the order of the chunk, from the origin.
 */
export function createSwarmPlan(layout: RolloutLayout, chunks: readonly Digest[]): RolloutPlan {
  const order = createRolloutOrder(layout);
  const neighbours = new Set(chooseNeighbours(layout));
  const roles = chunks.map((chunk) => roleFor(layout, order, chunk));
  const watched = new Set(neighbours);
  for (const role of roles) if (role.kind === 'import') watched.add(role.from);

  const isLocal = (agent: string): boolean => {
    const member = findMember(layout, agent);
    return member !== undefined && distanceBetween(layout.self, member) === 'data-centre';
  };
  const localPeers = new Set([...watched].filter(isLocal));

  const takeoverSources = (query: SourceQuery): readonly ChunkSource[] => {
    if (query.elapsedTakeoverTimeouts < 1) return [];
    if (query.holders.length > 0) return query.holders.map(peerSource);
    const chunk = chunks[query.index];
    if (chunk === undefined || order.rank(chunk) > query.elapsedTakeoverTimeouts - 1) return [];
    return [{ kind: 'origin' }];
  };

  const sourcesByRole: Readonly<
    Record<ChunkRole['kind'], (query: SourceQuery) => readonly ChunkSource[]>
  > = {
    none: takeoverSources,
    import: (query) => {
      const role = roles[query.index];
      const isHeldByImportSource = role?.kind === 'import' && query.holders.includes(role.from);
      return isHeldByImportSource ? [peerSource(role.from)] : takeoverSources(query);
    },
    read: () => [{ kind: 'origin' }],
  };

  return {
    watched,
    readsOriginImmediately: order.rank(digestOf(chunks.join(''))) < IMMEDIATE_ORIGIN_READERS,
    rarestFirst: true,
    sources: (query) => {
      const local = query.holders.filter((agent) => localPeers.has(agent));
      if (local.length > 0) return local.map(peerSource);
      return sourcesByRole[roles[query.index]?.kind ?? 'none'](query);
    },
  };
}
