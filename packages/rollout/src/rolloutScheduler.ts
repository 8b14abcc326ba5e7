import type { Digest } from '@burdockrail/common/digest.js';
import type { SeededRandom } from '@burdockrail/common/seededRandom.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { createSourceAvoidance, type FetchFailure } from './rolloutAvoidance.js';
import { distanceBetween, memberNamed, type RolloutLayout } from './rolloutLayout.js';
import { rolloutPlans, type ChunkSource, type PlanName, type RolloutPlan } from './rolloutPlan.js';
import { createRolloutProgress, type RolloutProgress } from './rolloutProgress.js';

/** Kinds of links that have a bound of their own. */
type Lane = 'origin' | 'local' | 'outside';

/** Fetches in progress at the same time on each lane. */
const laneLimits: Readonly<Record<Lane, number>> = { origin: 1, local: 6, outside: 4 };

/** Time for which a member that does not read at once waits for a first chunk, in milliseconds. */
const READ_WAIT_MILLISECONDS = 500;

const lanesInUse = Object.keys(laneLimits) as readonly Lane[];

/** Fetches in progress at the same time from one peer. */
const PER_PEER_LIMIT = 2;

/**
 * Share of the chunks, from the first missing one on, that is fetched before all others. The engine
 * is checked in the order of the chunks, so an early chunk that comes last delays the end.
 */
const WINDOW_SHARE = 0.25;

/** Fewest chunks of that window, so that peers have enough different ones to exchange. */
const MINIMUM_WINDOW = 64;

/** Name of the origin among the avoided sources; no agent can have it. */
const ORIGIN = '';

/** One chunk to fetch from one source. */
export interface FetchOrder {
  readonly index: number;
  readonly source: ChunkSource;
  /** True when the fetch is the duty of another member that nothing was heard of. */
  readonly isStepIn: boolean;
}

/** How a fetch ended. */
export type FetchResult =
  | { readonly kind: 'arrived'; readonly queuedBytes: number }
  | { readonly kind: 'failed'; readonly failure: FetchFailure };

/** Decides which chunks one agent fetches from where; has no clock and no connections. */
export interface RolloutScheduler {
  readonly progress: RolloutProgress;
  /** Peers to ask which chunks they hold. */
  readonly watched: ReadonlySet<string>;
  setLayout(layout: RolloutLayout): void;
  /** A watched peer holds further chunks. */
  peerHolds(agent: string, indices: readonly number[]): void;
  /** A peer is no longer watched; what it holds is unknown. */
  readonly peerGone: (agent: string) => void;
  /** Fetches to begin now; each has to be reported to {@link finished}. */
  next(now: Milliseconds): readonly FetchOrder[];
  finished(order: FetchOrder, result: FetchResult, now: Milliseconds): void;
}

/** Options of {@link createRolloutScheduler}. */
export interface RolloutSchedulerOptions {
  readonly plan: PlanName;
  readonly chunks: readonly Digest[];
  readonly layout: RolloutLayout;
  readonly random: SeededRandom;
}

interface Candidate {
  readonly index: number;
  readonly sources: readonly ChunkSource[];
  readonly isStepIn: boolean;
  /** The lowest is fetched first. */
  readonly rank: number;
}

/** What is the same for all chunks while fetches are chosen. */
interface Scan {
  readonly lanes: Readonly<Record<Lane, number>>;
  readonly elapsedBounds: number;
  readonly mayRead: boolean;
  readonly isAvoided: (source: string) => boolean;
}

function nameOf(source: ChunkSource): string {
  return source.kind === 'origin' ? ORIGIN : source.agent;
}

/** A corrupt chunk from the origin was spoilt on its way; there is no other origin to turn to. */
function failureOf(source: ChunkSource, failure: FetchFailure): FetchFailure {
  return source.kind === 'origin' && failure === 'corrupt' ? 'unreachable' : failure;
}

/** Creates the scheduler of one agent and one version. */
export function createRolloutScheduler(
  options: RolloutSchedulerOptions,
  now: Milliseconds,
): RolloutScheduler {
  const { chunks, random } = options;
  const progress = createRolloutProgress(chunks.length, now);
  const avoidance = createSourceAvoidance();
  const holders = chunks.map(() => new Set<string>());
  const pending = new Map<number, FetchOrder>();
  const queuedBytes = new Map<string, number>();
  const window = Math.max(MINIMUM_WINDOW, Math.ceil(chunks.length * WINDOW_SHARE));
  let layout = options.layout;
  let plan: RolloutPlan = rolloutPlans[options.plan](layout, chunks);

  const laneOf = (source: ChunkSource): Lane => {
    if (source.kind === 'origin') return 'origin';
    const member = memberNamed(layout, source.agent);
    const isLocal = member !== undefined && distanceBetween(layout.self, member) === 'data-centre';
    return isLocal ? 'local' : 'outside';
  };

  const countLanes = (): Record<Lane, number> => {
    const counts: Record<Lane, number> = { origin: 0, local: 0, outside: 0 };
    for (const { source } of pending.values()) counts[laneOf(source)] += 1;
    return counts;
  };

  const hasRoom = (source: ChunkSource, lanes: Readonly<Record<Lane, number>>): boolean => {
    const lane = laneOf(source);
    if (lanes[lane] >= laneLimits[lane]) return false;
    if (source.kind === 'origin') return true;
    const fromPeer = [...pending.values()].filter(
      ({ source: other }) => nameOf(other) === source.agent,
    );
    return fromPeer.length < PER_PEER_LIMIT;
  };

  const mayRead = (at: Milliseconds): boolean =>
    plan.readsAtOnce || progress.heldCount > 0 || at - now >= READ_WAIT_MILLISECONDS;

  const rarity = (index: number, holderCount: number): number => {
    const isLate = index >= progress.firstMissing + window;
    return holderCount + random.next() + (isLate ? chunks.length : 0);
  };

  const candidateAt = (index: number, scan: Scan): Candidate | undefined => {
    const known = [...(holders[index] ?? [])];
    const holdersInUse = known.filter((agent) => !scan.isAvoided(agent));
    const isUsable = (source: ChunkSource): boolean =>
      !scan.isAvoided(nameOf(source)) && (source.kind === 'peer' || scan.mayRead);
    const question = { index, holders: holdersInUse, elapsedBounds: 0 };
    const own = plan.sources(question).filter(isUsable);
    const isStepIn = own.length === 0;
    const { elapsedBounds } = scan;
    if (isStepIn && elapsedBounds === 0) return undefined;
    const all = isStepIn ? plan.sources({ ...question, elapsedBounds }).filter(isUsable) : own;
    const sources = all.filter((source) => hasRoom(source, scan.lanes));
    if (sources.length === 0) return undefined;
    const rank = plan.rarestFirst ? rarity(index, known.length) : index;
    return { index, sources, isStepIn, rank };
  };

  const bestCandidate = (scan: Scan): Candidate | undefined => {
    let best: Candidate | undefined;
    for (const index of progress.missing()) {
      if (pending.has(index)) continue;
      const candidate = candidateAt(index, scan);
      if (candidate === undefined) continue;
      if (best === undefined || candidate.rank < best.rank) best = candidate;
    }
    return best;
  };

  const chooseSource = (sources: readonly ChunkSource[]): ChunkSource | undefined => {
    const loadOf = (source: ChunkSource): number => queuedBytes.get(nameOf(source)) ?? 0;
    const ranked = sources.map((source) => ({ source, load: loadOf(source), tie: random.next() }));
    ranked.sort((left, right) => left.load - right.load || left.tie - right.tie);
    return ranked[0]?.source;
  };

  return {
    progress,
    get watched() {
      return plan.watched;
    },
    setLayout: (next) => {
      layout = next;
      plan = rolloutPlans[options.plan](layout, chunks);
    },
    peerHolds: (agent, indices) => {
      for (const index of indices) holders[index]?.add(agent);
    },
    peerGone: (agent) => {
      for (const held of holders) held.delete(agent);
      queuedBytes.delete(agent);
    },
    next: (at) => {
      const orders: FetchOrder[] = [];
      const elapsedBounds = progress.elapsedBounds(at);
      const isAvoided = (source: string): boolean => avoidance.isAvoided(source, at);
      for (;;) {
        const lanes = countLanes();
        if (lanesInUse.every((lane) => lanes[lane] >= laneLimits[lane])) return orders;
        const scan = { lanes, elapsedBounds, isAvoided, mayRead: mayRead(at) };
        const candidate = bestCandidate(scan);
        const source = candidate === undefined ? undefined : chooseSource(candidate.sources);
        if (candidate === undefined || source === undefined) return orders;
        const order = { index: candidate.index, source, isStepIn: candidate.isStepIn };
        pending.set(order.index, order);
        orders.push(order);
      }
    },
    finished: (order, result, at) => {
      pending.delete(order.index);
      const source = nameOf(order.source);
      if (result.kind === 'arrived') {
        if (order.isStepIn) progress.holdByStepIn(order.index, at);
        else progress.hold(order.index, at);
        avoidance.succeeded(source);
        queuedBytes.set(source, result.queuedBytes);
        return;
      }
      avoidance.failed(source, failureOf(order.source, result.failure), at);
      if (result.failure === 'missing') holders[order.index]?.delete(source);
    },
  };
}
