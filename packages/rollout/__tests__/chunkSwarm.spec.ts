import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { simulateSwarm, type Swarm } from './swarmSimulation.js';

const MEGABIT_BYTES = 125_000;

/** Three regions with three agents each; the links of the agents and the origin are equally narrow. */
const small: Swarm = {
  regions: 3,
  agentsPerRegion: 3,
  chunks: 96,
  chunkBytes: 24_576,
  linkBytesPerSecond: 7.3 * MEGABIT_BYTES,
  originBytesPerSecond: 7.3 * MEGABIT_BYTES,
  pacedLinkShare: 0.8,
  maximumConcurrentFetches: 8,
  initialHolders: 0,
  sharesLinks: true,
  lostAgents: [],
  slow: [],
  seed: 1,
};

const large: Swarm = {
  ...small,
  agentsPerRegion: 8,
  linkBytesPerSecond: 5.11 * MEGABIT_BYTES,
};

/** Fewer and larger chunks, with an origin that is faster than the links of the agents. */
const fewChunks: Swarm = {
  ...small,
  agentsPerRegion: 6,
  chunks: 48,
  chunkBytes: 49_152,
  linkBytesPerSecond: 6.58 * MEGABIT_BYTES,
  originBytesPerSecond: 15 * MEGABIT_BYTES,
};

/** Transfer time of one full copy at the share of a link that weights may use, in milliseconds. */
function copyMilliseconds(swarm: Swarm): number {
  const rate = swarm.linkBytesPerSecond * swarm.pacedLinkShare;
  return (swarm.chunks * swarm.chunkBytes * 1_000) / rate;
}

/** Time that distribution over the fleet may add, as a share of the copy's transfer time. */
const DISTRIBUTION_OVERHEAD_SHARE = 0.5;

const last = (times: readonly number[]): number =>
  Math.max(...times.filter((time) => Number.isFinite(time)));

describe('a version that all agents stage concurrently over narrow links', () => {
  for (const [name, swarm] of Object.entries({ small, large })) {
    it(`is staged everywhere within 1.5 times the transfer time of one copy (${name} fleet)`, () => {
      for (const seed of [1, 2, 3, 4]) {
        const { stagedAt, originFetches, crossRegionFetches } = simulateSwarm({ ...swarm, seed });
        const limit = copyMilliseconds(swarm) * (1 + DISTRIBUTION_OVERHEAD_SHARE);
        assert.ok(last(stagedAt) <= limit, `seed ${seed}: ${last(stagedAt)} ms of ${limit} ms`);
        assert.ok(originFetches <= swarm.chunks * 1.1, `${originFetches} chunks from the origin`);
        const expectedFetches = swarm.chunks * (swarm.regions - 1);
        assert.ok(
          crossRegionFetches <= expectedFetches * 1.1,
          `${crossRegionFetches} chunks across regions`,
        );
      }
    });
  }

  it('is staged within 1.2 times the transfer time of one copy on average, without failed fetches', () => {
    for (const seed of [1, 2, 3, 4]) {
      const { stagedAt, failedFetches } = simulateSwarm({ ...fewChunks, seed });
      const mean = stagedAt.reduce((sum, time) => sum + time, 0) / stagedAt.length;
      const limit = copyMilliseconds(fewChunks) * 1.2;
      assert.ok(mean <= limit, `seed ${seed}: ${mean} ms of ${limit} ms`);
      assert.equal(failedFetches, 0, `seed ${seed}`);
    }
  });

  it('is staged by added agents while two of those that have it are lost', () => {
    const lostAgents = [
      { agent: 0, at: 800 },
      { agent: 1, at: 800 },
    ];
    const { stagedAt, originFetches } = simulateSwarm({
      ...fewChunks,
      initialHolders: 11,
      lostAgents,
    });
    const added = stagedAt.slice(11);
    assert.ok(last(added) <= copyMilliseconds(fewChunks) * 1.5, `${last(added)} ms`);
    assert.ok(originFetches <= fewChunks.chunks * 0.25, `${originFetches} chunks from the origin`);
  });

  it('is staged by all others when two agents are lost during the rollout', () => {
    const lostAgents = [
      { agent: 2, at: 500 },
      { agent: 4, at: 1_500 },
    ];
    const { stagedAt, originFetches } = simulateSwarm({ ...small, lostAgents });
    const staged = stagedAt.filter((time) => Number.isFinite(time));
    assert.equal(staged.length, 7);
    assert.ok(last(staged) <= copyMilliseconds(small) * 2, `${last(staged)} ms`);
    assert.ok(originFetches <= small.chunks * 1.25, `${originFetches} chunks from the origin`);
  });

  const slow = [{ agent: 3, share: 1 / 8 }];

  it('is staged over a link at an eighth of its rate within eight times the usual transfer time', () => {
    for (const seed of [1, 2]) {
      const slowStagedAt =
        simulateSwarm({ ...small, slow, seed }).stagedAt[3] ?? Number.POSITIVE_INFINITY;
      assert.ok(slowStagedAt <= copyMilliseconds(small) * 8, `seed ${seed}: ${slowStagedAt} ms`);
    }
  });

  it('is staged by the others in time although the link of one has become much thinner', () => {
    const { stagedAt } = simulateSwarm({ ...small, slow });
    const others = stagedAt.filter((_time, place) => place !== 3);
    assert.ok(last(others) <= copyMilliseconds(small) * 2, `${last(others)} ms`);
  });
});
