import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createChunkPlanner } from '../src/chunkPlanner.js';
import { createChunkDuties } from '../src/chunkDuties.js';
import { nextChunkFetch, type ChunkHolder, type ChunkQuestion } from '../src/chunkChoice.js';

const chunks = Array.from({ length: 96 }, (_value, chunk) => chunk);
const regions = ['north', 'north', 'south', 'south', 'west', 'west'];
const names = regions.map((_region, place) => `agent-${place}`);

function question(place: number, changes: Partial<ChunkQuestion>): ChunkQuestion {
  const others = names
    .map((agent, other): ChunkHolder => ({
      agent,
      region: regions[other] ?? '',
      held: new Set(),
      busy: 0,
      queuedMilliseconds: 0,
    }))
    .filter((_holder, other) => other !== place);
  const self = { agent: names[place] ?? '', region: regions[place] ?? '' };
  return {
    region: self.region,
    duties: createChunkDuties('model 2', self, others),
    missing: chunks,
    others,
    fromOrigin: 0,
    mayAskOrigin: true,
    idleMilliseconds: 0,
    ...changes,
  };
}

/** Plays rounds in which every agent fetches one chunk; counts where chunks came from. */
function playRollout(): { origin: number; across: number; rounds: number } {
  const held = names.map(() => new Set<number>());
  const counts = { origin: 0, across: 0, rounds: 0 };
  while (held.some((set) => set.size < chunks.length) && counts.rounds < 2_000) {
    counts.rounds += 1;
    const before = held.map((set) => new Set(set));
    names.forEach((_name, place) => {
      const base = question(place, {});
      const others = base.others.map((holder) => ({
        ...holder,
        held: before[names.indexOf(holder.agent)] ?? new Set<number>(),
      }));
      const missing = chunks.filter((chunk) => held[place]?.has(chunk) !== true);
      const fetch = nextChunkFetch({ ...base, others, missing });
      if (fetch === null) return;
      held[place]?.add(fetch.chunk);
      if (fetch.source.kind === 'origin') counts.origin += 1;
      else {
        const from = regions[names.indexOf(fetch.source.agent)];
        if (from !== regions[place]) counts.across += 1;
      }
    });
  }
  return counts;
}

describe('the choice of the next chunk', () => {
  it('takes one copy from the origin and one into each further region', () => {
    const { origin, across, rounds } = playRollout();
    assert.equal(origin, chunks.length);
    assert.equal(across, 2 * chunks.length);
    assert.ok(rounds < 2 * chunks.length, `${rounds} rounds`);
  });

  it('takes over from owners that are lost after a while', () => {
    const owned = chunks.filter(
      (chunk) => nextChunkFetch(question(0, { missing: [chunk] })) !== null,
    );
    assert.ok(owned.length < chunks.length);
    const foreign = chunks.filter((chunk) => !owned.includes(chunk));
    const fetch = nextChunkFetch(question(0, { missing: foreign, idleMilliseconds: 5_000 }));
    assert.equal(fetch?.source.kind, 'origin');
  });

  it('lets owners take over one after the other, not all at once', () => {
    const asking = (idleMilliseconds: number): number =>
      names.filter((_name, place) => {
        const fetch = nextChunkFetch(question(place, { missing: [11], idleMilliseconds }));
        return fetch?.source.kind === 'origin';
      }).length;
    assert.deepEqual([0, 400, 800, 5_000].map(asking), [1, 2, 3, 6]);
  });

  it('fetches first what others wait for, then the rarest, from the link that is free soonest', () => {
    const base = question(0, {});
    const owned = chunks.find((chunk) => base.duties.of(chunk).amongAll === 0) ?? 0;
    const holding = (held: readonly number[], queuedMilliseconds: number) => ({
      held: new Set(held),
      queuedMilliseconds,
    });
    const common = owned === 1 ? 2 : 1;
    const rare = owned === 3 ? 4 : 3;
    const others = base.others.map((holder, place) => ({
      ...holder,
      ...(place === 0 ? holding([common, rare], 90) : holding([common], 10)),
      region: place < 2 ? 'north' : holder.region,
    }));
    const missing = [common, rare, owned];
    const sourceOf = (wanted: readonly number[]) =>
      nextChunkFetch({ ...base, others, missing: wanted });
    assert.deepEqual(sourceOf(missing), { chunk: owned, source: { kind: 'origin' } });
    assert.equal(sourceOf([common, rare])?.chunk, rare);
    const near = others[1]?.agent ?? '';
    assert.deepEqual(sourceOf([common]), { chunk: common, source: { kind: 'agent', agent: near } });
  });

  it('asks nothing of an agent that is busy with it already', () => {
    const base = question(0, {});
    const others = base.others.map((holder) => ({ ...holder, held: new Set([7]), busy: 2 }));
    assert.equal(nextChunkFetch({ ...base, others, missing: [7] }), null);
  });
});

describe('the planner of an agent', () => {
  const self = { agent: 'a', region: 'north' };
  const other = { agent: 'b', region: 'north' };
  const planner = (others: readonly (typeof other)[]) =>
    createChunkPlanner(
      { set: 'model 2', self, others: () => others, chunkMilliseconds: () => 30 },
      0,
    );

  it('leaves an origin that fails alone, for longer each time, and comes back to it', () => {
    const plan = planner([]);
    const asked: number[] = [];
    for (let now = 0; now < 5_000; now += 10) {
      const fetch = plan.next([1], now);
      if (fetch === null) continue;
      asked.push(now);
      plan.ended(fetch, false, now);
    }
    assert.deepEqual(asked.slice(0, 6), [0, 100, 300, 700, 1_100, 1_500]);
  });

  it('takes over the part of an agent that does not answer, until it does', () => {
    const plan = planner([other]);
    const owned = chunks.filter((chunk) => {
      const fetch = plan.next([chunk], 0);
      if (fetch !== null) plan.ended(fetch, true, 0);
      return fetch !== null;
    });
    const foreign = chunks.filter((chunk) => !owned.includes(chunk));
    assert.ok(foreign.length > 0);
    assert.equal(plan.next(foreign, 0), null);
    plan.told('b', null, 5);
    assert.equal(plan.next(foreign, 5), null);
    plan.told('b', null, 10);
    const fetch = plan.next(foreign, 10);
    assert.equal(fetch?.source.kind, 'origin');
    plan.ended(fetch, true, 20);
    plan.told('b', { held: new Set(), queuedMilliseconds: 0 }, 30);
    assert.equal(plan.next(foreign, 30), null);
  });
});
