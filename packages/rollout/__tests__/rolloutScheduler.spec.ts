import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { digestOf } from '@burdockrail/common/digest.js';
import { createSeededRandom } from '@burdockrail/common/seededRandom.js';
import { createLayout, type RolloutMember } from '../src/rolloutLayout.js';
import { createRolloutScheduler, type RolloutScheduler } from '../src/rolloutScheduler.js';
import type { PlanName } from '../src/rolloutPlan.js';

const ROUND_MILLISECONDS = 50;
const MAXIMUM_ROUNDS = 4_000;

interface Traffic {
  readonly originReads: number;
  readonly crossings: number;
  readonly isComplete: boolean;
}

function membersOf(dataCentres: number, perDataCentre: number): readonly RolloutMember[] {
  return Array.from({ length: dataCentres * perDataCentre }, (_member, place) => ({
    agent: `agent-${place}`,
    address: { host: '127.0.0.1', port: 1 },
    dataCentre: `dc${place % dataCentres}`,
    region: `dc${place % dataCentres}`,
    isComplete: false,
  }));
}

/** Lets schedulers exchange chunks in rounds; `dead` members vanish at the round given. */
function exchange(
  plan: PlanName,
  members: readonly RolloutMember[],
  chunkCount: number,
  dead: readonly string[] = [],
  deathRound = 0,
): Traffic {
  const chunks = Array.from({ length: chunkCount }, (_chunk, index) => digestOf(`${index}`));
  const random = createSeededRandom(7);
  const schedulers = new Map<string, RolloutScheduler>();
  const layoutOf = (self: RolloutMember, present: readonly RolloutMember[]) =>
    createLayout(self, present);
  for (const self of members) {
    const options = { plan, chunks, random, layout: layoutOf(self, members) };
    schedulers.set(self.agent, createRolloutScheduler(options, 0));
  }
  const dataCentreOf = (agent: string): string =>
    members.find((member) => member.agent === agent)?.dataCentre ?? '';
  let originReads = 0;
  let crossings = 0;
  const isComplete = (): boolean =>
    [...schedulers.values()].every(({ progress }) => progress.isComplete);

  for (let round = 0; round < MAXIMUM_ROUNDS && !isComplete(); round += 1) {
    const now = round * ROUND_MILLISECONDS;
    if (round === deathRound && dead.length > 0) {
      const present = members.filter(({ agent }) => !dead.includes(agent));
      for (const agent of dead) schedulers.delete(agent);
      for (const self of present) schedulers.get(self.agent)?.setLayout(layoutOf(self, present));
      for (const scheduler of schedulers.values()) dead.forEach(scheduler.peerGone);
    }
    const heldBefore = new Map(
      [...schedulers].map(([agent, { progress }]) => [
        agent,
        chunks.flatMap((_chunk, index) => (progress.holds(index) ? [index] : [])),
      ]),
    );
    for (const [agent, scheduler] of schedulers) {
      for (const peer of scheduler.watched) scheduler.peerHolds(peer, heldBefore.get(peer) ?? []);
      for (const order of scheduler.next(now)) {
        if (order.source.kind === 'origin') originReads += 1;
        else if (dataCentreOf(order.source.agent) !== dataCentreOf(agent)) crossings += 1;
        scheduler.finished(order, { kind: 'arrived', queuedBytes: 0 }, now);
      }
    }
  }
  return { originReads, crossings, isComplete: isComplete() };
}

describe('the scheduler of a rollout', () => {
  it('reads one copy from the origin and takes one into each further region, at any size', () => {
    const sizes = fc.record({
      dataCentres: fc.integer({ min: 1, max: 6 }),
      perDataCentre: fc.integer({ min: 1, max: 20 }),
      chunkCount: fc.integer({ min: 1, max: 60 }),
    });
    fc.assert(
      fc.property(sizes, ({ dataCentres, perDataCentre, chunkCount }) => {
        const traffic = exchange('swarm', membersOf(dataCentres, perDataCentre), chunkCount);
        assert.ok(traffic.isComplete);
        assert.equal(traffic.originReads, chunkCount);
        assert.equal(traffic.crossings, chunkCount * (dataCentres - 1));
      }),
      { numRuns: 40 },
    );
  });

  it('finishes without the members that die, whoever they are', () => {
    const members = membersOf(3, 4);
    const victims = fc.subarray(
      members.map(({ agent }) => agent),
      { minLength: 1, maxLength: 6 },
    );
    fc.assert(
      fc.property(victims, fc.integer({ min: 1, max: 8 }), (dead, deathRound) => {
        const traffic = exchange('swarm', members, 60, dead, deathRound);
        assert.ok(traffic.isComplete);
        assert.ok(traffic.originReads <= 60 + dead.length * 60);
      }),
      { numRuns: 40 },
    );
  });

  it('has plans to compare with: each reads what its shape says', () => {
    const members = membersOf(2, 3);
    assert.equal(exchange('origin', members, 20).originReads, 120);
    for (const plan of ['chain', 'tree'] as const) {
      const traffic = exchange(plan, members, 20);
      assert.ok(traffic.isComplete, plan);
      assert.equal(traffic.originReads, 20);
    }
  });

  it('takes a chunk elsewhere after one that fails its digest and avoids the source', () => {
    const [self, near, other] = membersOf(1, 3);
    assert.ok(self && near && other);
    const chunks = [digestOf('a'), digestOf('b')];
    const layout = createLayout(self, [near, other]);
    const options = { plan: 'swarm' as const, chunks, layout, random: createSeededRandom(3) };
    const scheduler = createRolloutScheduler(options, 0);
    scheduler.peerHolds(near.agent, [0, 1]);
    const orders = scheduler.next(0);
    assert.equal(orders.length, 2);
    for (const order of orders) {
      scheduler.finished(order, { kind: 'failed', failure: 'corrupt' }, 1);
    }
    const again = scheduler.next(2).map(({ source }) => source.kind);
    assert.ok(!again.includes('peer'));
    scheduler.peerHolds(other.agent, [0, 1]);
    for (const { source } of scheduler.next(3)) {
      assert.deepEqual(source, { kind: 'peer', agent: other.agent });
    }
  });

  it('steps in for a leader that is present and does nothing', () => {
    const members = membersOf(1, 2);
    const [self, idle] = members;
    assert.ok(self && idle);
    const chunks = Array.from({ length: 20 }, (_chunk, index) => digestOf(`${index}`));
    const layout = createLayout(self, [idle]);
    const options = { plan: 'swarm' as const, chunks, layout, random: createSeededRandom(3) };
    const scheduler = createRolloutScheduler(options, 0);
    for (let now = 0; now < 60_000 && !scheduler.progress.isComplete; now += 100) {
      for (const order of scheduler.next(now)) {
        scheduler.finished(order, { kind: 'arrived', queuedBytes: 0 }, now);
      }
    }
    assert.ok(scheduler.progress.isComplete);
  });
});
