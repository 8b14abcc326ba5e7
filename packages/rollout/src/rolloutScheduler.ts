import type { Digest } from '@burdockrail/common/digest.js';
import type { SeededRandom } from '@burdockrail/common/seededRandom.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { createSourceAvoidance, type FetchFailure } from './rolloutAvoidance.js';
import { distanceBetween, findMember, type RolloutLayout } from './rolloutLayout.js';
import { rolloutPlans, type ChunkSource, type PlanName, type RolloutPlan } from './rolloutPlan.js';
import { createRolloutProgress, type RolloutProgress } from './rolloutProgress.js';

/** Kinds of links with separate concurrency limits; `local` is within the data centre. */
type LinkKind = 'origin' | 'local' | 'outside';

/** Concurrent fetches per kind of link. */
const concurrencyLimits: Readonly<Record<LinkKind, number>> = { origin: 1, local: 6, outside: 4 };

/** Delay of the first origin read of members that do not read immediately, in milliseconds. */
const ORIGIN_READ_DELAY_MILLISECONDS = 500;

const linkKinds = Object.keys(concurrencyLimits) as readonly LinkKind[];

/** Concurrent fetches from one peer. */
const MAXIMUM_FETCHES_PER_PEER = 2;

/**
 * Share of the chunks, starting with the first missing one, that has priority over all others. The
 * chunks are verified in order, so an early chunk that arrives last delays the completion.
 */
const PRIORITY_WINDOW_SHARE = 0.25;

/** Minimum number of chunks in that window, so that peers have different chunks to exchange. */
const MINIMUM_PRIORITY_WINDOW = 64;

/** Key of the origin among source names; no agent can have this name. */
const ORIGIN_NAME = '';

/** A fetch of one chunk from one source. */
export interface FetchTask {
  readonly index: number;
  readonly source: ChunkSource;
  /** True when the fetch takes over from a responsible member after a timeout. */
  readonly isTakeover: boolean;
}

/** How a fetch ended. */
export type FetchResult =
  | { readonly kind: 'arrived'; readonly queuedBytes: number }
  | { readonly kind: 'failed'; readonly failure: FetchFailure };

/** Decides which chunks one agent fetches from which sources; performs no I/O, reads no clock. */
export interface RolloutScheduler {
  readonly progress: RolloutProgress;
  /** Peers whose held chunks have to be followed. */
  readonly watched: ReadonlySet<string>;
  setLayout(layout: RolloutLayout): void;
  /** Records that a watched peer holds further chunks. */
  addPeerChunks(agent: string, indices: readonly number[]): void;
  /** Forgets what a peer holds, because it is no longer watched. */
  readonly removePeer: (agent: string) => void;
  /** Fetches to start now; the result of each has to be passed to {@link recordFetchResult}. */
  next(now: Milliseconds): readonly FetchTask[];
  recordFetchResult(task: FetchTask, result: FetchResult, now: Milliseconds): void;
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
  readonly isTakeover: boolean;
  /** Candidates with a lower rank are fetched first. */
  readonly rank: number;
}

/** Values shared by all chunks during one selection of a fetch. */
interface SelectionContext {
  readonly fetchCounts: Readonly<Record<LinkKind, number>>;
  readonly elapsedTakeoverTimeouts: number;
  readonly mayReadOrigin: boolean;
  readonly isAvoided: (source: string) => boolean;
}

function sourceName(source: ChunkSource): string {
  return source.kind === 'origin' ? ORIGIN_NAME : source.agent;
}

/**
 * Treats a corrupt chunk from the origin as damaged in transfer: there is no other origin to read
 * from, so it is not avoided for as long as a corrupt peer.
 */
function effectiveFailure(source: ChunkSource, failure: FetchFailure): FetchFailure {
  return source.kind === 'origin' && failure === 'corrupt' ? 'unreachable' : failure;
}

/** Creates the scheduler of one agent and one version. */
export function createRolloutScheduler(
  options: RolloutSchedulerOptions,
  startedAt: Milliseconds,
): RolloutScheduler {
  const { chunks, random } = options;
  const progress = createRolloutProgress(chunks.length, startedAt);
  const avoidance = createSourceAvoidance();
  const holders = chunks.map(() => new Set<string>());
  const pendingFetches = new Map<number, FetchTask>();
  const queuedBytes = new Map<string, number>();
  const priorityWindow = Math.max(
    MINIMUM_PRIORITY_WINDOW,
    Math.ceil(chunks.length * PRIORITY_WINDOW_SHARE),
  );
  let layout = options.layout;
  let plan: RolloutPlan = rolloutPlans[options.plan](layout, chunks);

  const linkKindOf = (source: ChunkSource): LinkKind => {
    if (source.kind === 'origin') return 'origin';
    const member = findMember(layout, source.agent);
    const isLocal = member !== undefined && distanceBetween(layout.self, member) === 'data-centre';
    return isLocal ? 'local' : 'outside';
  };

  const countFetches = (): Record<LinkKind, number> => {
    const fetchCounts: Record<LinkKind, number> = { origin: 0, local: 0, outside: 0 };
    for (const { source } of pendingFetches.values()) fetchCounts[linkKindOf(source)] += 1;
    return fetchCounts;
  };

  const hasCapacity = (
    source: ChunkSource,
    fetchCounts: Readonly<Record<LinkKind, number>>,
  ): boolean => {
    const linkKind = linkKindOf(source);
    if (fetchCounts[linkKind] >= concurrencyLimits[linkKind]) return false;
    if (source.kind === 'origin') return true;
    const peerFetches = [...pendingFetches.values()].filter(
      ({ source: other }) => sourceName(other) === source.agent,
    );
    return peerFetches.length < MAXIMUM_FETCHES_PER_PEER;
  };

  const mayReadOrigin = (now: Milliseconds): boolean =>
    plan.readsOriginImmediately ||
    progress.heldCount > 0 ||
    now - startedAt >= ORIGIN_READ_DELAY_MILLISECONDS;

  const rarityRank = (index: number, holderCount: number): number => {
    const isOutsideWindow = index >= progress.firstMissing + priorityWindow;
    return holderCount + random.next() + (isOutsideWindow ? chunks.length : 0);
  };

  const candidateAt = (index: number, context: SelectionContext): Candidate | undefined => {
    const knownHolders = [...(holders[index] ?? [])];
    const availableHolders = knownHolders.filter((agent) => !context.isAvoided(agent));
    const isUsable = (source: ChunkSource): boolean =>
      !context.isAvoided(sourceName(source)) && (source.kind === 'peer' || context.mayReadOrigin);
    const query = { index, holders: availableHolders, elapsedTakeoverTimeouts: 0 };
    const assignedSources = plan.sources(query).filter(isUsable);
    const isTakeover = assignedSources.length === 0;
    const { elapsedTakeoverTimeouts } = context;
    if (isTakeover && elapsedTakeoverTimeouts === 0) return undefined;
    const usableSources = isTakeover
      ? plan.sources({ ...query, elapsedTakeoverTimeouts }).filter(isUsable)
      : assignedSources;
    const sources = usableSources.filter((source) => hasCapacity(source, context.fetchCounts));
    if (sources.length === 0) return undefined;
    const rank = plan.rarestFirst ? rarityRank(index, knownHolders.length) : index;
    return { index, sources, isTakeover, rank };
  };

  const findBestCandidate = (context: SelectionContext): Candidate | undefined => {
    let best: Candidate | undefined;
    for (const index of progress.missing()) {
      if (pendingFetches.has(index)) continue;
      const candidate = candidateAt(index, context);
      if (candidate === undefined) continue;
      if (best === undefined || candidate.rank < best.rank) best = candidate;
    }
    return best;
  };

  const chooseSource = (sources: readonly ChunkSource[]): ChunkSource | undefined => {
    const queuedBytesOf = (source: ChunkSource): number => queuedBytes.get(sourceName(source)) ?? 0;
    const ranked = sources.map((source) => ({
      source,
      queued: queuedBytesOf(source),
      tieBreaker: random.next(),
    }));
    ranked.sort((left, right) => left.queued - right.queued || left.tieBreaker - right.tieBreaker);
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
    addPeerChunks: (agent, indices) => {
      for (const index of indices) holders[index]?.add(agent);
    },
    removePeer: (agent) => {
      for (const held of holders) held.delete(agent);
      queuedBytes.delete(agent);
    },
    next: (now) => {
      const tasks: FetchTask[] = [];
      const elapsedTakeoverTimeouts = progress.elapsedTakeoverTimeouts(now);
      const isAvoided = (source: string): boolean => avoidance.isAvoided(source, now);
      for (;;) {
        const fetchCounts = countFetches();
        if (linkKinds.every((kind) => fetchCounts[kind] >= concurrencyLimits[kind])) return tasks;
        const context = {
          fetchCounts,
          elapsedTakeoverTimeouts,
          isAvoided,
          mayReadOrigin: mayReadOrigin(now),
        };
        const candidate = findBestCandidate(context);
        const source = candidate === undefined ? undefined : chooseSource(candidate.sources);
        if (candidate === undefined || source === undefined) return tasks;
        const task = { index: candidate.index, source, isTakeover: candidate.isTakeover };
        pendingFetches.set(task.index, task);
        tasks.push(task);
      }
    },
    recordFetchResult: (task, result, now) => {
      pendingFetches.delete(task.index);
      const source = sourceName(task.source);
      if (result.kind === 'arrived') {
        if (task.isTakeover) progress.addByTakeover(task.index, now);
        else progress.add(task.index, now);
        avoidance.succeeded(source);
        queuedBytes.set(source, result.queuedBytes);
        return;
      }
      avoidance.failed(source, effectiveFailure(task.source, result.failure), now);
      if (result.failure === 'missing') holders[task.index]?.delete(source);
    },
  };
}
