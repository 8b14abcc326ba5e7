import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { nextChunkFetch, type ChunkFetch, type ChunkHolder } from './chunkChoice.js';
import { createChunkRanking, type ChunkRanking, type ChunkPeer } from './chunkRanking.js';

/** What another agent reports about its chunks of a version. */
export interface ChunkInventory {
  readonly held: ReadonlySet<number>;
  /** Time until its link is free, in milliseconds. */
  readonly queuedMilliseconds: number;
}

/** Tracks one agent's view of its peers while it fetches a version, and decides its fetches. */
export interface ChunkPlanner {
  /**
   * Returns the next fetch and counts it as in progress; `null` when nothing can be fetched now. A
   * failed fetch from an agent halves the limit of concurrent fetches, verified chunks raise it.
   */
  next(missing: readonly number[], now: Milliseconds): ChunkFetch | null;
  /** Records the inventory of another agent; `null` when it did not answer. */
  recordInventory(agent: string, inventory: ChunkInventory | null, now: Milliseconds): void;
  /** Records the end of a fetch; `isSound` tells whether a chunk arrived and passed verification. */
  recordFetchEnd(fetch: ChunkFetch, isSound: boolean, now: Milliseconds): void;
  /**
   * True while the origin fails and no other agent is known to have any of the missing chunks, so
   * that nothing can arrive until the origin is back.
   */
  isStarved(missing: readonly number[], now: Milliseconds): boolean;
  /** Agents whose inventory is due for a poll; each is returned again only after a reply or failure. */
  agentsToPoll(now: Milliseconds): readonly string[];
}

/** Options of {@link createChunkPlanner}. */
export interface ChunkPlannerOptions {
  /** Identifies model and version. */
  readonly versionKey: string;
  readonly self: ChunkPeer;
  /** The other agents that currently take part. */
  readonly others: () => readonly ChunkPeer[];
  /** Expected transfer time of one chunk on another agent's link, in milliseconds. */
  readonly chunkMilliseconds: () => number;
  /** True while requests share this agent's link with the chunks. */
  readonly sharesLink: () => boolean;
}

/**
 * Time for which an agent is excluded after its first failed fetch, in milliseconds.
 *
 * Others take over its chunks meanwhile, so that one narrow link does not delay the whole rollout.
 */
const INITIAL_AVOIDANCE_MILLISECONDS = 1_500;

/** Upper limit of that time, which doubles with each consecutive failure. */
const MAXIMUM_AVOIDANCE_MILLISECONDS = 12_000;

/** Interval between inventory polls of an agent of the same region, in milliseconds. */
const SAME_REGION_POLL_MILLISECONDS = 60;

/** The same for other regions; longer, as only chunks that the own region lacks come from there. */
const OTHER_REGION_POLL_MILLISECONDS = 180;

/** Backoff after the first failed fetch from the origin, in milliseconds. */
const INITIAL_ORIGIN_BACKOFF_MILLISECONDS = 100;

/** Upper limit of that backoff, which doubles with each consecutive failure. */
const MAXIMUM_ORIGIN_BACKOFF_MILLISECONDS = 400;

/** Consecutive failed fetches from the origin after which it counts as lost. */
const ORIGIN_FAILURES_BEFORE_STARVED = 2;

/** Concurrent fetches at most: enough to fill a narrow link at a short round-trip time. */
const MAXIMUM_CONCURRENT_FETCHES = 8;

/**
 * Transfer time of the fetches in progress at most while requests share the link, in milliseconds:
 * chunks from several senders may arrive at the same time, and requests wait behind all of them.
 */
const MAXIMUM_SHARED_LINK_MILLISECONDS = 300;

/** How much a verified chunk raises the limit of concurrent fetches. */
const CONCURRENCY_GAIN_PER_CHUNK = 0.25;

/** Consecutive unanswered polls after which others take over an agent's chunks. */
const UNANSWERED_POLLS_BEFORE_TAKEOVER = 2;

interface AgentState {
  readonly inventory: ChunkInventory | null;
  /** Consecutive polls that were not answered. */
  readonly unansweredPolls: number;
  readonly polledAt: Milliseconds;
  /** True until the poll is answered or has failed. */
  readonly isPollPending: boolean;
  readonly inventoryReceivedAt: Milliseconds;
  /** Queueing time on its link added by fetches since the last inventory, in milliseconds. */
  readonly addedQueueMilliseconds: number;
  readonly fetchesInProgress: number;
  readonly avoidedUntil: Milliseconds;
  readonly avoidanceMilliseconds: Milliseconds;
}

const initialAgentState: AgentState = {
  inventory: null,
  unansweredPolls: 0,
  polledAt: Number.NEGATIVE_INFINITY,
  isPollPending: false,
  inventoryReceivedAt: 0,
  addedQueueMilliseconds: 0,
  fetchesInProgress: 0,
  avoidedUntil: Number.NEGATIVE_INFINITY,
  avoidanceMilliseconds: INITIAL_AVOIDANCE_MILLISECONDS / 2,
};

/** Chunks that have been obtained so far by a set of agents. */
interface ArrivalFrontier {
  /** Time at which the last of them was seen for the first time. */
  readonly advancedAt: Milliseconds;
  record(chunk: number, now: Milliseconds): void;
}

function createArrivalFrontier(startedAt: Milliseconds): ArrivalFrontier {
  const seen = new Set<number>();
  let advancedAt = startedAt;
  return {
    get advancedAt() {
      return advancedAt;
    },
    record: (chunk, now) => {
      if (seen.has(chunk)) return;
      seen.add(chunk);
      advancedAt = now;
    },
  };
}

/** Creates the planner of an agent that starts to fetch a version. */
export function createChunkPlanner(
  options: ChunkPlannerOptions,
  startedAt: Milliseconds,
): ChunkPlanner {
  const { versionKey, self } = options;
  const agentStates = new Map<string, AgentState>();
  const fetching = new Set<number>();
  let concurrencyLimit = MAXIMUM_CONCURRENT_FETCHES;
  let originFetchesInProgress = 0;
  let originFailures = 0;
  let originBackoffUntil = startedAt;
  const obtainedAnywhere = createArrivalFrontier(startedAt);
  const obtainedInRegion = createArrivalFrontier(startedAt);
  let cached: { readonly key: string; readonly ranking: ChunkRanking } | null = null;

  const updateAgent = (agent: string, changes: Partial<AgentState>): void => {
    agentStates.set(agent, { ...(agentStates.get(agent) ?? initialAgentState), ...changes });
  };

  const recordHeld = (chunk: number, isInRegion: boolean, now: Milliseconds): void => {
    obtainedAnywhere.record(chunk, now);
    if (isInRegion) obtainedInRegion.record(chunk, now);
  };

  const rankingAmong = (others: readonly ChunkPeer[]): ChunkRanking => {
    const key = others.map(({ agent }) => agent).join(' ');
    if (cached?.key !== key)
      cached = { key, ranking: createChunkRanking(versionKey, self, others) };
    return cached.ranking;
  };

  const isParticipating = (agent: string, now: Milliseconds): boolean => {
    const { unansweredPolls, avoidedUntil } = agentStates.get(agent) ?? initialAgentState;
    return unansweredPolls < UNANSWERED_POLLS_BEFORE_TAKEOVER && avoidedUntil <= now;
  };

  const holderOf = ({ agent, region }: ChunkPeer, now: Milliseconds): ChunkHolder => {
    const state = agentStates.get(agent) ?? initialAgentState;
    const queuedMilliseconds =
      (state.inventory?.queuedMilliseconds ?? 0) +
      state.addedQueueMilliseconds -
      (now - state.inventoryReceivedAt);
    return {
      agent,
      region,
      held: state.inventory?.held ?? new Set(),
      fetchesInProgress: state.fetchesInProgress,
      queuedMilliseconds: Math.max(0, queuedMilliseconds),
    };
  };

  const countFetch = ({ source }: ChunkFetch, delta: 1 | -1): void => {
    if (source.kind === 'origin') {
      originFetchesInProgress += delta;
      return;
    }
    const state = agentStates.get(source.agent) ?? initialAgentState;
    const addedQueueMilliseconds =
      state.addedQueueMilliseconds + (delta === 1 ? options.chunkMilliseconds() : 0);
    updateAgent(source.agent, {
      fetchesInProgress: state.fetchesInProgress + delta,
      addedQueueMilliseconds,
    });
  };

  return {
    next: (missing, now) => {
      if (fetching.size >= Math.floor(concurrencyLimit)) return null;
      const inProgressMilliseconds = (fetching.size + 1) * options.chunkMilliseconds();
      if (options.sharesLink() && inProgressMilliseconds > MAXIMUM_SHARED_LINK_MILLISECONDS)
        return null;
      const others = options.others().filter(({ agent }) => isParticipating(agent, now));
      const fetch = nextChunkFetch({
        region: self.region,
        ranking: rankingAmong(others),
        missing: missing.filter((chunk) => !fetching.has(chunk)),
        others: others.map((other) => holderOf(other, now)),
        originFetchesInProgress,
        mayFetchFromOrigin: now >= originBackoffUntil,
        originStalledMilliseconds: now - obtainedAnywhere.advancedAt,
        regionStalledMilliseconds: now - obtainedInRegion.advancedAt,
      });
      if (fetch === null) return null;
      fetching.add(fetch.chunk);
      countFetch(fetch, 1);
      return fetch;
    },
    isStarved: (missing, now) => {
      if (originFailures < ORIGIN_FAILURES_BEFORE_STARVED || fetching.size > 0) return false;
      const others = options.others().filter(({ agent }) => isParticipating(agent, now));
      return others.every((other) => {
        const { held } = holderOf(other, now);
        return !missing.some((chunk) => held.has(chunk));
      });
    },
    recordInventory: (agent, inventory, now) => {
      const previous = (agentStates.get(agent) ?? initialAgentState).unansweredPolls;
      const unansweredPolls = inventory === null ? previous + 1 : 0;
      const region = options.others().find((other) => other.agent === agent)?.region;
      for (const chunk of inventory?.held ?? []) recordHeld(chunk, region === self.region, now);
      updateAgent(agent, {
        inventory,
        unansweredPolls,
        isPollPending: false,
        inventoryReceivedAt: now,
        addedQueueMilliseconds: 0,
      });
    },
    recordFetchEnd: (fetch, isSound, now) => {
      fetching.delete(fetch.chunk);
      countFetch(fetch, -1);
      if (isSound) recordHeld(fetch.chunk, true, now);
      if (fetch.source.kind === 'origin') {
        originFailures = isSound ? 0 : originFailures + 1;
        const backoff = INITIAL_ORIGIN_BACKOFF_MILLISECONDS * 2 ** (originFailures - 1);
        if (!isSound)
          originBackoffUntil = now + Math.min(MAXIMUM_ORIGIN_BACKOFF_MILLISECONDS, backoff);
        return;
      }
      // Too many concurrent fetches on a link that has become narrow would all time out.
      concurrencyLimit = isSound
        ? Math.min(MAXIMUM_CONCURRENT_FETCHES, concurrencyLimit + CONCURRENCY_GAIN_PER_CHUNK)
        : Math.max(1, concurrencyLimit / 2);
      const { agent } = fetch.source;
      if (isSound) {
        updateAgent(agent, { avoidanceMilliseconds: initialAgentState.avoidanceMilliseconds });
        return;
      }
      const previous = (agentStates.get(agent) ?? initialAgentState).avoidanceMilliseconds;
      const avoidanceMilliseconds = Math.min(MAXIMUM_AVOIDANCE_MILLISECONDS, previous * 2);
      updateAgent(agent, { avoidanceMilliseconds, avoidedUntil: now + avoidanceMilliseconds });
    },
    agentsToPoll: (now) => {
      const duePeers = options.others().filter(({ agent, region }) => {
        const interval =
          region === self.region ? SAME_REGION_POLL_MILLISECONDS : OTHER_REGION_POLL_MILLISECONDS;
        const { isPollPending, polledAt } = agentStates.get(agent) ?? initialAgentState;
        return !isPollPending && now - polledAt >= interval;
      });
      for (const { agent } of duePeers) updateAgent(agent, { isPollPending: true, polledAt: now });
      return duePeers.map(({ agent }) => agent);
    },
  };
}
