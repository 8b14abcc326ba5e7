import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createChunkPlanner } from '../src/chunkPlanner.js';
import { createChunkRanking } from '../src/chunkRanking.js';
import { nextChunkFetch, type ChunkHolder, type ChunkFetchContext } from '../src/chunkChoice.js';

const chunks = Array.from({ length: 96 }, (_value, chunk) => chunk);
const regions = ['north', 'north', 'south', 'south', 'west', 'west'];
const agentNames = regions.map((_region, index) => `agent-${index}`);

function contextOf(index: number, changes: Partial<ChunkFetchContext>): ChunkFetchContext {
  const others = agentNames
    .map((agent, other): ChunkHolder => ({
      agent,
      region: regions[other] ?? '',
      held: new Set(),
      fetchesInProgress: 0,
      queuedMilliseconds: 0,
    }))
    .filter((_holder, other) => other !== index);
  const self = { agent: agentNames[index] ?? '', region: regions[index] ?? '' };
  return {
    region: self.region,
    ranking: createChunkRanking('model 2', self, others),
    missing: chunks,
    others,
    originFetchesInProgress: 0,
    mayFetchFromOrigin: true,
    originStalledMilliseconds: 0,
    regionStalledMilliseconds: 0,
    ...changes,
  };
}

/** Simulates rounds in which every agent fetches one chunk; counts the fetches by kind of source. */
function simulateRollout(): { origin: number; acrossRegions: number; rounds: number } {
  const held = agentNames.map(() => new Set<number>());
  const counts = { origin: 0, acrossRegions: 0, rounds: 0 };
  while (held.some((set) => set.size < chunks.length) && counts.rounds < 2_000) {
    counts.rounds += 1;
    const heldBefore = held.map((set) => new Set(set));
    agentNames.forEach((_name, index) => {
      const base = contextOf(index, {});
      const others = base.others.map((holder) => ({
        ...holder,
        held: heldBefore[agentNames.indexOf(holder.agent)] ?? new Set<number>(),
      }));
      const missing = chunks.filter((chunk) => held[index]?.has(chunk) !== true);
      const fetch = nextChunkFetch({ ...base, others, missing });
      if (fetch === null) return;
      held[index]?.add(fetch.chunk);
      if (fetch.source.kind === 'origin') counts.origin += 1;
      else {
        const from = regions[agentNames.indexOf(fetch.source.agent)];
        if (from !== regions[index]) counts.acrossRegions += 1;
      }
    });
  }
  return counts;
}

describe('nextChunkFetch', () => {
  it('fetches one copy from the origin and one into each further region', () => {
    const { origin, acrossRegions, rounds } = simulateRollout();
    assert.equal(origin, chunks.length);
    assert.equal(acrossRegions, 2 * chunks.length);
    assert.ok(rounds < 2 * chunks.length, `${rounds} rounds`);
  });

  it('takes over the chunks of lost owners after the takeover delay', () => {
    const owned = chunks.filter(
      (chunk) => nextChunkFetch(contextOf(0, { missing: [chunk] })) !== null,
    );
    assert.ok(owned.length < chunks.length);
    const notOwned = chunks.filter((chunk) => !owned.includes(chunk));
    const fetch = nextChunkFetch(
      contextOf(0, { missing: notOwned, originStalledMilliseconds: 5_000 }),
    );
    assert.equal(fetch?.source.kind, 'origin');
  });

  it('lets agents take over in rank order instead of all at once', () => {
    const countOriginFetches = (originStalledMilliseconds: number): number =>
      agentNames.filter((_name, index) => {
        const fetch = nextChunkFetch(
          contextOf(index, { missing: [11], originStalledMilliseconds }),
        );
        return fetch?.source.kind === 'origin';
      }).length;
    assert.deepEqual([0, 400, 800, 5_000].map(countOriginFetches), [1, 2, 3, 6]);
  });

  it('prefers owned chunks, then the rarest, from the holder with the shortest queue', () => {
    const base = contextOf(0, {});
    const owned = chunks.find((chunk) => base.ranking.rankOf(chunk).global === 0) ?? 0;
    const holderState = (held: readonly number[], queuedMilliseconds: number) => ({
      held: new Set(held),
      queuedMilliseconds,
    });
    const commonChunk = owned === 1 ? 2 : 1;
    const rareChunk = owned === 3 ? 4 : 3;
    const others = base.others.map((holder, index) => ({
      ...holder,
      ...(index === 0 ? holderState([commonChunk, rareChunk], 90) : holderState([commonChunk], 10)),
      region: index < 2 ? 'north' : holder.region,
    }));
    const missing = [commonChunk, rareChunk, owned];
    const nextFetchOf = (missingChunks: readonly number[]) =>
      nextChunkFetch({ ...base, others, missing: missingChunks });
    assert.deepEqual(nextFetchOf(missing), { chunk: owned, source: { kind: 'origin' } });
    assert.equal(nextFetchOf([commonChunk, rareChunk])?.chunk, rareChunk);
    const leastQueuedAgent = others[1]?.agent ?? '';
    assert.deepEqual(nextFetchOf([commonChunk]), {
      chunk: commonChunk,
      source: { kind: 'agent', agent: leastQueuedAgent },
    });
  });

  it('does not exceed the fetch limit of another agent', () => {
    const base = contextOf(0, {});
    const others = base.others.map((holder) => ({
      ...holder,
      held: new Set([7]),
      fetchesInProgress: 2,
    }));
    assert.equal(nextChunkFetch({ ...base, others, missing: [7] }), null);
  });
});

describe('createChunkPlanner', () => {
  const self = { agent: 'a', region: 'north' };
  const other = { agent: 'b', region: 'north' };
  const createPlanner = (others: readonly (typeof other)[]) =>
    createChunkPlanner(
      {
        versionKey: 'model 2',
        self,
        others: () => others,
        chunkMilliseconds: () => 30,
        sharesLink: () => false,
      },
      0,
    );

  it('backs off exponentially from a failing origin up to a limit', () => {
    const planner = createPlanner([]);
    const fetchTimes: number[] = [];
    for (let now = 0; now < 5_000; now += 10) {
      const fetch = planner.next([1], now);
      if (fetch === null) continue;
      fetchTimes.push(now);
      planner.recordFetchEnd(fetch, false, now);
    }
    assert.deepEqual(fetchTimes.slice(0, 6), [0, 100, 300, 700, 1_100, 1_500]);
  });

  it('is starved once the origin fails and no other agent has what is missing', () => {
    const planner = createPlanner([other]);
    planner.recordInventory('b', { held: new Set([1]), queuedMilliseconds: 0 }, 0);
    const failAtOrigin = (now: number): void => {
      const owned = chunks.slice(2).find((chunk) => {
        const fetch = planner.next([chunk], now);
        if (fetch !== null) planner.recordFetchEnd(fetch, false, now);
        return fetch?.source.kind === 'origin';
      });
      assert.notEqual(owned, undefined);
    };
    failAtOrigin(0);
    assert.equal(planner.isStarved([2, 3], 0), false);
    failAtOrigin(500);
    assert.equal(planner.isStarved([2, 3], 500), true);
    assert.equal(planner.isStarved([1, 2, 3], 500), false);
  });

  it('takes over the chunks of an agent that does not answer polls, until it answers', () => {
    const planner = createPlanner([other]);
    const owned = chunks.filter((chunk) => {
      const fetch = planner.next([chunk], 0);
      if (fetch !== null) planner.recordFetchEnd(fetch, true, 0);
      return fetch !== null;
    });
    const notOwned = chunks.filter((chunk) => !owned.includes(chunk));
    assert.ok(notOwned.length > 0);
    assert.equal(planner.next(notOwned, 0), null);
    planner.recordInventory('b', null, 5);
    assert.equal(planner.next(notOwned, 5), null);
    planner.recordInventory('b', null, 10);
    const fetch = planner.next(notOwned, 10);
    assert.equal(fetch?.source.kind, 'origin');
    planner.recordFetchEnd(fetch, true, 20);
    planner.recordInventory('b', { held: new Set(), queuedMilliseconds: 0 }, 30);
    assert.equal(planner.next(notOwned, 30), null);
  });
});
