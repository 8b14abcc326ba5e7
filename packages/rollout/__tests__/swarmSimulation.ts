import { createSeededRandom } from '@burdockrail/common/seededRandom.js';
import type { ChunkFetch } from '../src/chunkChoice.js';
import { createChunkPlanner, type ChunkPlanner } from '../src/chunkPlanner.js';
import type { ChunkPeer } from '../src/chunkDuties.js';
import { createPacer, type Pacer } from '../src/rolloutPacer.js';

/** A fleet of agents behind thin links, and the version that they bring up. */
export interface Swarm {
  readonly regions: number;
  readonly agentsInRegion: number;
  readonly chunks: number;
  readonly chunkBytes: number;
  readonly linkBytesPerSecond: number;
  readonly originBytesPerSecond: number;
  /** Share of the link that the agents' pacers allow. */
  readonly linkShare: number;
  readonly fetchesAtOnce: number;
  /** Agents that lose their link at a time, in milliseconds. */
  readonly lost: readonly { readonly agent: number; readonly at: number }[];
  /** Agents whose link is thinner than the others'. */
  readonly slow: readonly { readonly agent: number; readonly share: number }[];
  readonly seed: number;
}

/** What came of it. */
export interface SwarmOutcome {
  /** Time at which each agent held everything, in milliseconds; infinite for lost ones. */
  readonly stagedAt: readonly number[];
  readonly fromOrigin: number;
  readonly acrossRegions: number;
  readonly failed: number;
}

const NEAR_DELAY_MILLISECONDS = 1;
const FAR_DELAY_MILLISECONDS = 3;
const WRITE_MILLISECONDS = 4;
/** Reading back at the engine, and the way of the last part over the second link. */
const HANDLING_MILLISECONDS = 15;
const TICK_MILLISECONDS = 5;
const FETCH_MILLISECONDS = 1_000;
const ORIGIN_MILLISECONDS = 6_000;
const ANSWER_MILLISECONDS = 500;
const LAST_MILLISECONDS = 40_000;

interface Member {
  readonly self: ChunkPeer;
  readonly planner: ChunkPlanner;
  readonly held: Set<number>;
  readonly order: readonly number[];
  readonly uplink: Pacer;
  readonly downlink: Pacer;
  /** Time that a chunk takes on its link, in milliseconds. */
  readonly wire: number;
  /** Times at which the wire itself is free. */
  sends: number;
  receives: number;
  running: number;
}

/** Plays a rollout in virtual time with the deciding code of the agents. */
export function playSwarm(swarm: Swarm): SwarmOutcome {
  const random = createSeededRandom(swarm.seed);
  const wire = (swarm.chunkBytes * 1_000) / swarm.linkBytesPerSecond;
  const paced = wire / swarm.linkShare;
  const peers: ChunkPeer[] = Array.from(
    { length: swarm.regions * swarm.agentsInRegion },
    (_value, place) => ({ agent: `agent-${place}`, region: `region-${place % swarm.regions}` }),
  );
  const members = peers.map((self, place): Member => {
    const share = swarm.slow.find(({ agent }) => agent === place)?.share ?? 1;
    const first = random.below(swarm.chunks);
    return {
      self,
      planner: createChunkPlanner(
        {
          set: 'model 2',
          self,
          others: () => peers.filter(({ agent }) => agent !== self.agent),
          chunkMilliseconds: () => paced,
        },
        0,
      ),
      held: new Set(),
      order: Array.from(
        { length: swarm.chunks },
        (_chunk, place) => (place + first) % swarm.chunks,
      ),
      uplink: createPacer(() => swarm.linkBytesPerSecond * swarm.linkShare),
      downlink: createPacer(() => swarm.linkBytesPerSecond * swarm.linkShare),
      wire: wire / share,
      sends: 0,
      receives: 0,
      running: 0,
    };
  });
  const events: { readonly at: number; readonly run: (now: number) => void }[] = [];
  const after = (at: number, run: (now: number) => void): void => {
    events.push({ at, run });
  };
  const isLost = (place: number, now: number): boolean =>
    swarm.lost.some(({ agent, at }) => agent === place && at <= now);
  const outcome = {
    stagedAt: members.map(() => Number.POSITIVE_INFINITY),
    fromOrigin: 0,
    acrossRegions: 0,
    failed: 0,
  };
  let originFree = 0;

  const giveUp = (place: number, fetch: ChunkFetch, at: number): void => {
    outcome.failed += 1;
    after(at, (later) => {
      const member = members[place];
      if (member === undefined) return;
      member.running -= 1;
      member.planner.ended(fetch, false, later);
    });
  };

  const receive = (
    place: number,
    fetch: ChunkFetch,
    {
      asked,
      arrives,
      bound,
    }: { readonly asked: number; readonly arrives: number; readonly bound: number },
  ): void => {
    const member = members[place];
    if (member === undefined) return;
    const begin = Math.max(member.receives, arrives - member.wire);
    member.receives = begin + member.wire;
    // All that comes in at the same time shares the link, so each takes as long as all of it.
    const shared = Math.max(member.receives, asked + member.running * member.wire);
    if (shared - asked > bound) {
      giveUp(place, fetch, asked + bound);
      return;
    }
    after(shared + WRITE_MILLISECONDS, (now) => {
      member.running -= 1;
      member.held.add(fetch.chunk);
      member.planner.ended(fetch, true, now);
      if (member.held.size === swarm.chunks) outcome.stagedAt[place] = now;
    });
  };

  const begin = (place: number, fetch: ChunkFetch, now: number): void => {
    const member = members[place];
    if (member === undefined) return;
    member.running += 1;
    const { source } = fetch;
    if (source.kind === 'origin') {
      outcome.fromOrigin += 1;
      const started = Math.max(originFree, now + FAR_DELAY_MILLISECONDS);
      originFree = started + (swarm.chunkBytes * 1_000) / swarm.originBytesPerSecond;
      receive(place, fetch, { asked: now, arrives: originFree, bound: ORIGIN_MILLISECONDS });
      return;
    }
    const from = peers.findIndex(({ agent }) => agent === source.agent);
    const sender = members[from];
    const isFar = peers[from]?.region !== member.self.region;
    if (isFar) outcome.acrossRegions += 1;
    const delay = isFar ? FAR_DELAY_MILLISECONDS : NEAR_DELAY_MILLISECONDS;
    if (sender === undefined || isLost(from, now)) {
      giveUp(place, fetch, now + FETCH_MILLISECONDS);
      return;
    }
    after(now + delay + HANDLING_MILLISECONDS, (asked) => {
      const wait = sender.uplink.reserve(swarm.chunkBytes, asked);
      const starts = Math.max(sender.sends, asked + wait);
      sender.sends = starts + sender.wire;
      const arrives = sender.sends + delay;
      if (isLost(from, arrives)) giveUp(place, fetch, now + FETCH_MILLISECONDS);
      else receive(place, fetch, { asked: now, arrives, bound: FETCH_MILLISECONDS });
    });
  };

  const ask = (place: number, now: number): void => {
    const member = members[place];
    if (member === undefined) return;
    for (const agent of member.planner.toAsk(now)) {
      const other = peers.findIndex((peer) => peer.agent === agent);
      const isFar = peers[other]?.region !== member.self.region;
      const delay = isFar ? FAR_DELAY_MILLISECONDS : NEAR_DELAY_MILLISECONDS;
      const asked = members[other];
      if (asked === undefined || isLost(other, now)) {
        after(now + ANSWER_MILLISECONDS, (told) => {
          member.planner.told(agent, null, told);
        });
        continue;
      }
      after(now + delay, (at) => {
        const offer = {
          held: new Set(asked.held),
          queuedMilliseconds: Math.max(0, asked.sends - at),
        };
        after(at + delay, (told) => {
          member.planner.told(agent, offer, told);
        });
      });
    }
  };

  const tick = (place: number, now: number): void => {
    const member = members[place];
    if (member === undefined || isLost(place, now) || member.held.size === swarm.chunks) return;
    ask(place, now);
    while (member.running < swarm.fetchesAtOnce && member.downlink.waitMilliseconds(now) === 0) {
      const missing = member.order.filter((chunk) => !member.held.has(chunk));
      const fetch = member.planner.next(missing, now);
      if (fetch === null) break;
      member.downlink.reserve(swarm.chunkBytes, now);
      begin(place, fetch, now);
    }
  };

  for (let now = 0; now < LAST_MILLISECONDS; now += TICK_MILLISECONDS) {
    for (;;) {
      const place = events.findIndex(({ at }) => at <= now);
      const [event] = place < 0 ? [] : events.splice(place, 1);
      if (event === undefined) break;
      event.run(event.at);
    }
    members.forEach((_member, place) => {
      tick(place, now);
    });
    const isDone = members.every(
      ({ held }, place) => isLost(place, now) || held.size === swarm.chunks,
    );
    if (isDone) break;
  }
  return outcome;
}
