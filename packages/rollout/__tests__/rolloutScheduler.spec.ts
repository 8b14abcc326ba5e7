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

interface RolloutTraffic {
  readonly originReads: number;
  readonly crossDataCentreFetches: number;
  readonly isComplete: boolean;
}

function membersOf(dataCentres: number, perDataCentre: number): readonly RolloutMember[] {
  return Array.from({ length: dataCentres * perDataCentre }, (_member, index) => ({
    agent: `agent-${index}`,
    address: { host: '127.0.0.1', port: 1 },
    dataCentre: `dc${index % dataCentres}`,
    region: `dc${index % dataCentres}`,
    isComplete: false,
  }));
}

/** Simulates rounds of fetches; `failedAgents` are removed at the start of `failureRound`. */
function simulateRollout(
  plan: PlanName,
  members: readonly RolloutMember[],
  chunkCount: number,
  failedAgents: readonly string[] = [],
  failureRound = 0,
): RolloutTraffic {
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
  let crossDataCentreFetches = 0;
  const isComplete = (): boolean =>
    [...schedulers.values()].every(({ progress }) => progress.isComplete);

  for (let round = 0; round < MAXIMUM_ROUNDS && !isComplete(); round += 1) {
    const now = round * ROUND_MILLISECONDS;
    if (round === failureRound && failedAgents.length > 0) {
      const remaining = members.filter(({ agent }) => !failedAgents.includes(agent));
      for (const agent of failedAgents) schedulers.delete(agent);
      for (const self of remaining)
        schedulers.get(self.agent)?.setLayout(layoutOf(self, remaining));
      for (const scheduler of schedulers.values()) failedAgents.forEach(scheduler.removePeer);
    }
    const heldBefore = new Map(
      [...schedulers].map(([agent, { progress }]) => [
        agent,
        chunks.flatMap((_chunk, index) => (progress.holds(index) ? [index] : [])),
      ]),
    );
    for (const [agent, scheduler] of schedulers) {
      for (const peer of scheduler.watched)
        scheduler.addPeerChunks(peer, heldBefore.get(peer) ?? []);
      for (const task of scheduler.next(now)) {
        if (task.source.kind === 'origin') originReads += 1;
        else if (dataCentreOf(task.source.agent) !== dataCentreOf(agent))
          crossDataCentreFetches += 1;
        scheduler.recordFetchResult(task, { kind: 'arrived', queuedBytes: 0 }, now);
      }
    }
  }
  return { originReads, crossDataCentreFetches, isComplete: isComplete() };
}

describe('the rollout scheduler', () => {
  it('reads one copy from the origin and sends one to each further data centre', () => {
    const sizes = fc.record({
      dataCentres: fc.integer({ min: 1, max: 6 }),
      perDataCentre: fc.integer({ min: 1, max: 20 }),
      chunkCount: fc.integer({ min: 1, max: 60 }),
    });
    fc.assert(
      fc.property(sizes, ({ dataCentres, perDataCentre, chunkCount }) => {
        const traffic = simulateRollout('swarm', membersOf(dataCentres, perDataCentre), chunkCount);
        assert.ok(traffic.isComplete);
        assert.equal(traffic.originReads, chunkCount);
        assert.equal(traffic.crossDataCentreFetches, chunkCount * (dataCentres - 1));
      }),
      { numRuns: 40 },
    );
  });

  it('completes when any subset of members fails', () => {
    const members = membersOf(3, 4);
    const failedSubsets = fc.subarray(
      members.map(({ agent }) => agent),
      { minLength: 1, maxLength: 6 },
    );
    fc.assert(
      fc.property(failedSubsets, fc.integer({ min: 1, max: 8 }), (failedAgents, failureRound) => {
        const traffic = simulateRollout('swarm', members, 60, failedAgents, failureRound);
        assert.ok(traffic.isComplete);
        assert.ok(traffic.originReads <= 60 + failedAgents.length * 60);
      }),
      { numRuns: 40 },
    );
  });

  it('reads from the origin as often as each comparison plan defines', () => {
    const members = membersOf(2, 3);
    assert.equal(simulateRollout('origin', members, 20).originReads, 120);
    for (const plan of ['chain', 'tree'] as const) {
      const traffic = simulateRollout(plan, members, 20);
      assert.ok(traffic.isComplete, plan);
      assert.equal(traffic.originReads, 20);
    }
  });

  it('avoids a peer that sent a corrupt chunk and fetches from another', () => {
    const [self, corruptPeer, soundPeer] = membersOf(1, 3);
    assert.ok(self && corruptPeer && soundPeer);
    const chunks = [digestOf('a'), digestOf('b')];
    const layout = createLayout(self, [corruptPeer, soundPeer]);
    const options = { plan: 'swarm' as const, chunks, layout, random: createSeededRandom(3) };
    const scheduler = createRolloutScheduler(options, 0);
    scheduler.addPeerChunks(corruptPeer.agent, [0, 1]);
    const tasks = scheduler.next(0);
    assert.equal(tasks.length, 2);
    for (const task of tasks) {
      scheduler.recordFetchResult(task, { kind: 'failed', failure: 'corrupt' }, 1);
    }
    const retrySources = scheduler.next(2).map(({ source }) => source.kind);
    assert.ok(!retrySources.includes('peer'));
    scheduler.addPeerChunks(soundPeer.agent, [0, 1]);
    for (const { source } of scheduler.next(3)) {
      assert.deepEqual(source, { kind: 'peer', agent: soundPeer.agent });
    }
  });

  it('takes over from a leader that is present but idle', () => {
    const members = membersOf(1, 2);
    const [self, idlePeer] = members;
    assert.ok(self && idlePeer);
    const chunks = Array.from({ length: 20 }, (_chunk, index) => digestOf(`${index}`));
    const layout = createLayout(self, [idlePeer]);
    const options = { plan: 'swarm' as const, chunks, layout, random: createSeededRandom(3) };
    const scheduler = createRolloutScheduler(options, 0);
    for (let now = 0; now < 60_000 && !scheduler.progress.isComplete; now += 100) {
      for (const task of scheduler.next(now)) {
        scheduler.recordFetchResult(task, { kind: 'arrived', queuedBytes: 0 }, now);
      }
    }
    assert.ok(scheduler.progress.isComplete);
  });
});
