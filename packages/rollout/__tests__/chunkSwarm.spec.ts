import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { playSwarm, type Swarm } from './swarmSimulation.js';

const MEGABIT_BYTES = 125_000;

/** Three regions with three agents each behind thin links, and an origin that is as thin. */
const small: Swarm = {
  regions: 3,
  agentsInRegion: 3,
  chunks: 96,
  chunkBytes: 24_576,
  linkBytesPerSecond: 7.3 * MEGABIT_BYTES,
  originBytesPerSecond: 7.3 * MEGABIT_BYTES,
  linkShare: 0.8,
  fetchesAtOnce: 8,
  lost: [],
  slow: [],
  seed: 1,
};

const large: Swarm = { ...small, agentsInRegion: 8, linkBytesPerSecond: 5.11 * MEGABIT_BYTES };

/** Time that one whole copy takes over the part of a link that weights may use, in milliseconds. */
function copyMilliseconds(swarm: Swarm): number {
  const rate = swarm.linkBytesPerSecond * swarm.linkShare;
  return (swarm.chunks * swarm.chunkBytes * 1_000) / rate;
}

/** Part of the copy's time that spreading over the fleet may add. */
const SPREADING_SHARE = 0.5;

const last = (times: readonly number[]): number =>
  Math.max(...times.filter((time) => Number.isFinite(time)));

describe('a version that all agents bring up at once over thin links', () => {
  for (const [name, swarm] of Object.entries({ small, large })) {
    it(`is staged everywhere soon after one copy could have come (${name} fleet)`, () => {
      for (const seed of [1, 2, 3, 4]) {
        const { stagedAt, fromOrigin, acrossRegions } = playSwarm({ ...swarm, seed });
        const bound = copyMilliseconds(swarm) * (1 + SPREADING_SHARE);
        assert.ok(last(stagedAt) <= bound, `seed ${seed}: ${last(stagedAt)} ms of ${bound} ms`);
        assert.ok(fromOrigin <= swarm.chunks * 1.1, `${fromOrigin} chunks from the origin`);
        const copies = swarm.chunks * (swarm.regions - 1);
        assert.ok(acrossRegions <= copies * 1.1, `${acrossRegions} chunks across regions`);
      }
    });
  }

  it('is staged by all others when two agents are lost on the way', () => {
    const lost = [
      { agent: 2, at: 500 },
      { agent: 4, at: 1_500 },
    ];
    const { stagedAt, fromOrigin } = playSwarm({ ...small, lost });
    const staged = stagedAt.filter((time) => Number.isFinite(time));
    assert.equal(staged.length, 7);
    assert.ok(last(staged) <= copyMilliseconds(small) * 2, `${last(staged)} ms`);
    assert.ok(fromOrigin <= small.chunks * 1.25, `${fromOrigin} chunks from the origin`);
  });

  const slow = [{ agent: 3, share: 1 / 8 }];

  it('is staged behind a link that has become much thinner, about as fast as that can carry it', () => {
    for (const seed of [1, 2]) {
      const thin = playSwarm({ ...small, slow, seed }).stagedAt[3] ?? Number.POSITIVE_INFINITY;
      assert.ok(thin <= copyMilliseconds(small) * 8, `seed ${seed}: ${thin} ms`);
    }
  });

  it('is staged by the others in time although the link of one has become much thinner', () => {
    const { stagedAt } = playSwarm({ ...small, slow });
    const others = stagedAt.filter((_time, place) => place !== 3);
    assert.ok(last(others) <= copyMilliseconds(small) * 2, `${last(others)} ms`);
  });
});
