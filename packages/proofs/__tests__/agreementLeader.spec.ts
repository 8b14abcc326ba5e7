import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { waitForRevision } from '@burdockrail/harness/systemOperation.js';
import { waitUntilTrue } from '@burdockrail/harness/waitUntil.js';
import {
  REPAIR_MILLISECONDS,
  agreementLayout,
  applyAt,
  controlNames,
  fleetNamed,
  groupStatus,
  leaderAmong,
  startFormedSystem,
} from './agreementSystem.js';

const query = { group: 'fleet', query: { kind: 'current' } };

function revisionOf(value: unknown): number {
  return (value as { readonly revision: number } | null)?.revision ?? 0;
}

describe('a leader of the fleet group that others cannot reach', () => {
  it('commits nothing while it is cut off, and its order loses to the one accepted', async () => {
    await using system = await startFormedSystem({
      ...agreementLayout,
      links: { separateProxyProcess: true },
    });
    const controls = controlNames(system);
    const leader = await leaderAmong(system, controls, 'fleet');
    const others = controls.filter((name) => name !== leader.name);
    const order = { expectedRevision: 0, orderId: 'accepted' };
    const heals = await Promise.all(
      others.map(async (name) => system.links.cut({ machine: leader.name }, { machine: name })),
    );
    const isolated = { expectedRevision: 0, orderId: 'isolated', timeoutMilliseconds: 1_000 };
    await assert.rejects(system.operator.apply(leader.advertise, fleetNamed('lost'), isolated));
    const accepted = await applyAt(system, others[0] ?? '', fleetNamed('won'), order);
    assert.equal(accepted.kind, 'accepted');
    await waitUntilTrue(
      async () => (await groupStatus(system, leader.name, 'fleet'))?.role !== 'leader',
      { description: 'the isolated leader to step down' },
    );
    assert.equal((await system.operator.status(leader.advertise)).revision, 0);
    for (const heal of heals) await heal();
    await waitForRevision(system, 1);
    const resent = { expectedRevision: 0, orderId: 'isolated' };
    const reply = await applyAt(system, leader.name, fleetNamed('lost'), resent);
    assert.deepEqual(reply, { ...accepted, kind: 'conflict' });
    for (const { advertise } of system.machines) {
      assert.equal((await system.operator.status(advertise)).digest, accepted.digest);
    }
  });

  it('answers no stale query after it was frozen past its lease and thawed', async () => {
    await using system = await startFormedSystem();
    const controls = controlNames(system);
    const first = { expectedRevision: 0, orderId: 'first' };
    await applyAt(system, controls[0] ?? '', fleetNamed('one'), first);
    const leader = await leaderAmong(system, controls, 'fleet');
    const others = controls.filter((name) => name !== leader.name);
    system.processes.pause(leader.name);
    const second = { expectedRevision: 1, orderId: 'second' };
    const accepted = await applyAt(system, others[0] ?? '', fleetNamed('two'), second);
    assert.equal(accepted.kind, 'accepted');
    const questions = Array.from({ length: 20 }, async () =>
      system.operator.call(leader.advertise, 'group.query', query, REPAIR_MILLISECONDS),
    );
    system.processes.resume(leader.name);
    for (const reply of await Promise.all(questions)) {
      if (reply.kind === 'result') assert.equal(revisionOf(reply.value), 2);
    }
    await waitForRevision(system, 2);
  });
});
