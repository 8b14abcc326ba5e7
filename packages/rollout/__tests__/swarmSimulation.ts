import { createSeededRandom } from '@burdockrail/common/seededRandom.js';
import type { ChunkFetch } from '../src/chunkChoice.js';
import { createChunkPlanner, type ChunkPlanner } from '../src/chunkPlanner.js';
import type { ChunkPeer } from '../src/chunkRanking.js';
import { createPacer, type Pacer } from '../src/rolloutPacer.js';

/** Parameters of a simulated rollout of one version over narrow links. */
export interface Swarm {
  readonly regions: number;
  readonly agentsPerRegion: number;
  readonly chunks: number;
  readonly chunkBytes: number;
  readonly linkBytesPerSecond: number;
  readonly originBytesPerSecond: number;
  /** Share of the link rate that the pacers of the agents use. */
  readonly pacedLinkShare: number;
  readonly maximumConcurrentFetches: number;
  /** Number of agents that hold all chunks from the start. */
  readonly initialHolders: number;
  /** True while the agents' engines serve requests over the same links. */
  readonly sharesLinks: boolean;
  /** Agents that lose their link, each at a time in milliseconds. */
  readonly lostAgents: readonly { readonly agent: number; readonly at: number }[];
  /** Agents whose link has only a share of the usual rate. */
  readonly slow: readonly { readonly agent: number; readonly share: number }[];
  readonly seed: number;
}

/** Result of a simulated rollout. */
export interface SwarmResult {
  /** Time at which each agent held all chunks, in milliseconds; infinite for lost agents. */
  readonly stagedAt: readonly number[];
  readonly originFetches: number;
  readonly crossRegionFetches: number;
  readonly failedFetches: number;
}

const SAME_REGION_DELAY_MILLISECONDS = 1;
const CROSS_REGION_DELAY_MILLISECONDS = 3;
const WRITE_MILLISECONDS = 4;
/** Reading the chunk back from the engine, and sending its last part over the second link. */
const SENDER_OVERHEAD_MILLISECONDS = 15;
const TICK_MILLISECONDS = 5;
const PEER_FETCH_TIMEOUT_MILLISECONDS = 1_000;
const ORIGIN_FETCH_TIMEOUT_MILLISECONDS = 6_000;
const POLL_TIMEOUT_MILLISECONDS = 500;
const MAXIMUM_SIMULATION_MILLISECONDS = 40_000;

interface SimulatedAgent {
  readonly self: ChunkPeer;
  readonly planner: ChunkPlanner;
  readonly held: Set<number>;
  readonly order: readonly number[];
  readonly uplink: Pacer;
  readonly downlink: Pacer;
  /** Transfer time of a chunk on its link, in milliseconds. */
  readonly transferMilliseconds: number;
  /** Times at which each direction of the physical link is free. */
  uplinkFreeAt: number;
  downlinkFreeAt: number;
  fetchesInProgress: number;
}

/** Simulates a rollout in virtual time with the chunk planners and pacers of the agents. */
export function simulateSwarm(swarm: Swarm): SwarmResult {
  const random = createSeededRandom(swarm.seed);
  const transferMilliseconds = (swarm.chunkBytes * 1_000) / swarm.linkBytesPerSecond;
  const pacedTransferMilliseconds = transferMilliseconds / swarm.pacedLinkShare;
  const peers: ChunkPeer[] = Array.from(
    { length: swarm.regions * swarm.agentsPerRegion },
    (_value, index) => ({ agent: `agent-${index}`, region: `region-${index % swarm.regions}` }),
  );
  const chunks = Array.from({ length: swarm.chunks }, (_value, chunk) => chunk);
  const agents = peers.map((self, index): SimulatedAgent => {
    const share = swarm.slow.find(({ agent }) => agent === index)?.share ?? 1;
    const offset = random.nextInteger(swarm.chunks);
    return {
      self,
      planner: createChunkPlanner(
        {
          versionKey: 'model 2',
          self,
          others: () => peers.filter(({ agent }) => agent !== self.agent),
          chunkMilliseconds: () => pacedTransferMilliseconds,
          sharesLink: () => swarm.sharesLinks,
        },
        0,
      ),
      held: new Set(index < swarm.initialHolders ? chunks : []),
      order: Array.from(
        { length: swarm.chunks },
        (_chunk, index) => (index + offset) % swarm.chunks,
      ),
      uplink: createPacer(() => swarm.linkBytesPerSecond * swarm.pacedLinkShare),
      downlink: createPacer(() => swarm.linkBytesPerSecond * swarm.pacedLinkShare),
      transferMilliseconds: transferMilliseconds / share,
      uplinkFreeAt: 0,
      downlinkFreeAt: 0,
      fetchesInProgress: 0,
    };
  });
  const events: { readonly at: number; readonly run: (now: number) => void }[] = [];
  const schedule = (at: number, run: (now: number) => void): void => {
    events.push({ at, run });
  };
  const isLost = (index: number, now: number): boolean =>
    swarm.lostAgents.some(({ agent, at }) => agent === index && at <= now);
  const result = {
    stagedAt: agents.map(() => Number.POSITIVE_INFINITY),
    originFetches: 0,
    crossRegionFetches: 0,
    failedFetches: 0,
  };
  let originFreeAt = 0;

  const failFetch = (index: number, fetch: ChunkFetch, at: number): void => {
    result.failedFetches += 1;
    schedule(at, (now) => {
      const agentState = agents[index];
      if (agentState === undefined) return;
      agentState.fetchesInProgress -= 1;
      agentState.planner.recordFetchEnd(fetch, false, now);
    });
  };

  const receiveChunk = (
    index: number,
    fetch: ChunkFetch,
    {
      requestedAt,
      arrivesAt,
      timeout,
    }: { readonly requestedAt: number; readonly arrivesAt: number; readonly timeout: number },
  ): void => {
    const agentState = agents[index];
    if (agentState === undefined) return;
    const receiveStartsAt = Math.max(
      agentState.downlinkFreeAt,
      arrivesAt - agentState.transferMilliseconds,
    );
    agentState.downlinkFreeAt = receiveStartsAt + agentState.transferMilliseconds;
    // Concurrent transfers share the link, so each takes as long as all of them together.
    const completesAt = Math.max(
      agentState.downlinkFreeAt,
      requestedAt + agentState.fetchesInProgress * agentState.transferMilliseconds,
    );
    if (completesAt - requestedAt > timeout) {
      failFetch(index, fetch, requestedAt + timeout);
      return;
    }
    schedule(completesAt + WRITE_MILLISECONDS, (now) => {
      agentState.fetchesInProgress -= 1;
      agentState.held.add(fetch.chunk);
      agentState.planner.recordFetchEnd(fetch, true, now);
      if (agentState.held.size === swarm.chunks) result.stagedAt[index] = now;
    });
  };

  const startFetch = (index: number, fetch: ChunkFetch, now: number): void => {
    const agentState = agents[index];
    if (agentState === undefined) return;
    agentState.fetchesInProgress += 1;
    const { source } = fetch;
    if (source.kind === 'origin') {
      result.originFetches += 1;
      const sendStartsAt = Math.max(originFreeAt, now + CROSS_REGION_DELAY_MILLISECONDS);
      originFreeAt = sendStartsAt + (swarm.chunkBytes * 1_000) / swarm.originBytesPerSecond;
      receiveChunk(index, fetch, {
        requestedAt: now,
        arrivesAt: originFreeAt,
        timeout: ORIGIN_FETCH_TIMEOUT_MILLISECONDS,
      });
      return;
    }
    const senderIndex = peers.findIndex(({ agent }) => agent === source.agent);
    const sender = agents[senderIndex];
    const isOtherRegion = peers[senderIndex]?.region !== agentState.self.region;
    if (isOtherRegion) result.crossRegionFetches += 1;
    const delay = isOtherRegion ? CROSS_REGION_DELAY_MILLISECONDS : SAME_REGION_DELAY_MILLISECONDS;
    if (sender === undefined || isLost(senderIndex, now)) {
      failFetch(index, fetch, now + PEER_FETCH_TIMEOUT_MILLISECONDS);
      return;
    }
    schedule(now + delay + SENDER_OVERHEAD_MILLISECONDS, (requestedAt) => {
      const wait = sender.uplink.reserve(swarm.chunkBytes, requestedAt);
      const sendStartsAt = Math.max(sender.uplinkFreeAt, requestedAt + wait);
      sender.uplinkFreeAt = sendStartsAt + sender.transferMilliseconds;
      const arrivesAt = sender.uplinkFreeAt + delay;
      if (isLost(senderIndex, arrivesAt))
        failFetch(index, fetch, now + PEER_FETCH_TIMEOUT_MILLISECONDS);
      else
        receiveChunk(index, fetch, {
          requestedAt: now,
          arrivesAt,
          timeout: PEER_FETCH_TIMEOUT_MILLISECONDS,
        });
    });
  };

  const pollPeers = (index: number, now: number): void => {
    const agentState = agents[index];
    if (agentState === undefined) return;
    for (const agent of agentState.planner.agentsToPoll(now)) {
      const other = peers.findIndex((peer) => peer.agent === agent);
      const isOtherRegion = peers[other]?.region !== agentState.self.region;
      const delay = isOtherRegion
        ? CROSS_REGION_DELAY_MILLISECONDS
        : SAME_REGION_DELAY_MILLISECONDS;
      const polledAgent = agents[other];
      if (polledAgent === undefined || isLost(other, now)) {
        schedule(now + POLL_TIMEOUT_MILLISECONDS, (repliedAt) => {
          agentState.planner.recordInventory(agent, null, repliedAt);
        });
        continue;
      }
      schedule(now + delay, (at) => {
        const offer = {
          held: new Set(polledAgent.held),
          queuedMilliseconds: Math.max(0, polledAgent.uplinkFreeAt - at),
        };
        schedule(at + delay, (repliedAt) => {
          agentState.planner.recordInventory(agent, offer, repliedAt);
        });
      });
    }
  };

  const tick = (index: number, now: number): void => {
    const agentState = agents[index];
    if (agentState === undefined || isLost(index, now) || agentState.held.size === swarm.chunks)
      return;
    pollPeers(index, now);
    while (
      agentState.fetchesInProgress < swarm.maximumConcurrentFetches &&
      agentState.downlink.waitMilliseconds(now) === 0
    ) {
      const missing = agentState.order.filter((chunk) => !agentState.held.has(chunk));
      const fetch = agentState.planner.next(missing, now);
      if (fetch === null) break;
      agentState.downlink.reserve(swarm.chunkBytes, now);
      startFetch(index, fetch, now);
    }
  };

  for (let now = 0; now < MAXIMUM_SIMULATION_MILLISECONDS; now += TICK_MILLISECONDS) {
    for (;;) {
      const index = events.findIndex(({ at }) => at <= now);
      const [event] = index < 0 ? [] : events.splice(index, 1);
      if (event === undefined) break;
      event.run(event.at);
    }
    agents.forEach((_agentState, index) => {
      tick(index, now);
    });
    const isDone = agents.every(
      ({ held }, index) => isLost(index, now) || held.size === swarm.chunks,
    );
    if (isDone) break;
  }
  return result;
}
