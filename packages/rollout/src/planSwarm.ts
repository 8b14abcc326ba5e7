import { digestOf, type Digest } from '@burdockrail/common/digest.js';
import { distanceBetween, memberNamed, type RolloutLayout } from './rolloutLayout.js';
import { createRolloutOrder, memberNumber, pairScore, type RolloutOrder } from './rolloutOrder.js';
import type { ChunkSource, RolloutPlan, SourceQuestion } from './rolloutPlan.js';

/** Peers of its own data centre that an agent exchanges chunks with. */
const MAXIMUM_NEIGHBOURS = 16;

/** Neighbours that are chosen because they hold every chunk. */
const COMPLETE_NEIGHBOURS = 4;

/** Members that read from the origin at once. */
const FIRST_READERS = 4;

/** What an agent does for one chunk besides taking it from its neighbours. */
type Duty =
  | { readonly kind: 'none' }
  /** Takes the chunk into its data centre from a peer outside. */
  | { readonly kind: 'import'; readonly from: string }
  /** Reads the chunk from the origin. */
  | { readonly kind: 'read' };

/** Chooses the neighbours; the choice of two agents is mostly mutual. */
function neighboursOf(layout: RolloutLayout): readonly string[] {
  const own = memberNumber(layout.self.agent);
  const local = layout.members
    .filter((member) => member !== layout.self)
    .filter((member) => distanceBetween(layout.self, member) === 'data-centre')
    .map((member) => ({ member, score: pairScore(own, memberNumber(member.agent)) }))
    .sort((left, right) => right.score - left.score);
  const complete = local.filter(({ member }) => member.isComplete).slice(0, COMPLETE_NEIGHBOURS);
  const others = local.filter((candidate) => !complete.includes(candidate));
  return [...complete, ...others].slice(0, MAXIMUM_NEIGHBOURS).map(({ member }) => member.agent);
}

function dutyFor(layout: RolloutLayout, order: RolloutOrder, chunk: Digest): Duty {
  const { self } = layout;
  const leaders = order.leaders(chunk);
  if (leaders.ofDataCentre !== self) return { kind: 'none' };
  const complete = order.completeSource(chunk);
  if (complete !== undefined) return { kind: 'import', from: complete.agent };
  if (leaders.ofRegion !== self) return { kind: 'import', from: leaders.ofRegion.agent };
  if (leaders.overall !== self) return { kind: 'import', from: leaders.overall.agent };
  return { kind: 'read' };
}

function peer(agent: string): ChunkSource {
  return { kind: 'peer', agent };
}

/**
 * Plan in which every chunk is read once from the origin, crosses into every further region and
 * data centre once, and spreads among neighbours within a data centre.
 *
 * @remarks
 * Leaders are chosen for each chunk by rendezvous hash, so that reading, crossing and uploading
 * are spread evenly over all members. When nothing arrives for a time, a member takes the next
 * step by itself: first from any watched holder, then from the origin, in the order of the chunk.
 */
export function createSwarmPlan(layout: RolloutLayout, chunks: readonly Digest[]): RolloutPlan {
  const order = createRolloutOrder(layout);
  const neighbours = new Set(neighboursOf(layout));
  const duties = chunks.map((chunk) => dutyFor(layout, order, chunk));
  const watched = new Set(neighbours);
  for (const duty of duties) if (duty.kind === 'import') watched.add(duty.from);

  const isLocal = (agent: string): boolean => {
    const member = memberNamed(layout, agent);
    return member !== undefined && distanceBetween(layout.self, member) === 'data-centre';
  };
  const localPeers = new Set([...watched].filter(isLocal));

  const stepIn = (question: SourceQuestion): readonly ChunkSource[] => {
    if (question.elapsedBounds < 1) return [];
    if (question.holders.length > 0) return question.holders.map(peer);
    const chunk = chunks[question.index];
    if (chunk === undefined || order.rank(chunk) > question.elapsedBounds - 1) return [];
    return [{ kind: 'origin' }];
  };

  const outside: Readonly<
    Record<Duty['kind'], (question: SourceQuestion) => readonly ChunkSource[]>
  > = {
    none: stepIn,
    import: (question) => {
      const duty = duties[question.index];
      const isHeld = duty?.kind === 'import' && question.holders.includes(duty.from);
      return isHeld ? [peer(duty.from)] : stepIn(question);
    },
    read: () => [{ kind: 'origin' }],
  };

  return {
    watched,
    readsAtOnce: order.rank(digestOf(chunks.join(''))) < FIRST_READERS,
    rarestFirst: true,
    sources: (question) => {
      const local = question.holders.filter((agent) => localPeers.has(agent));
      if (local.length > 0) return local.map(peer);
      return outside[duties[question.index]?.kind ?? 'none'](question);
    },
  };
}
