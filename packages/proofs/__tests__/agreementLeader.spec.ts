import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { waitForRevision } from '@burdockrail/harness/systemOperation.js';
import { waitUntilTrue } from '@burdockrail/harness/waitUntil.js';
import {
  RECOVERY_TIMEOUT_MILLISECONDS,
  agreementLayout,
  applyThrough,
  controlNames,
  fleetWithTeam,
  groupStatus,
  waitForLeader,
  startFormedSystem,
} from './agreementSystem.js';

const query = { group: 'fleet', query: { kind: 'current' } };

function revisionOf(value: unknown): number {
  return (value as { readonly revision: number } | null)?.revision ?? 0;
}

describe('an isolated leader of the fleet group', () => {
  it('commits nothing while it is partitioned, and its order conflicts with the accepted one', async () => {
    await using system = await startFormedSystem({
      ...agreementLayout,
      links: { separateProxyProcess: true },
    });
    const controls = controlNames(system);
    const leader = await waitForLeader(system, controls, 'fleet');
    const others = controls.filter((name) => name !== leader.name);
    const order = { expectedRevision: 0, orderId: 'accepted' };
    const heals = await Promise.all(
      others.map(async (name) => system.links.cut({ machine: leader.name }, { machine: name })),
    );
    const isolated = { expectedRevision: 0, orderId: 'isolated', timeoutMilliseconds: 1_000 };
    await assert.rejects(system.operator.apply(leader.advertise, fleetWithTeam('lost'), isolated));
    const accepted = await applyThrough(system, others[0] ?? '', fleetWithTeam('won'), order);
    assert.equal(accepted.kind, 'accepted');
    await waitUntilTrue(
      async () => (await groupStatus(system, leader.name, 'fleet'))?.role !== 'leader',
      { description: 'the isolated leader to step down' },
    );
    assert.equal((await system.operator.status(leader.advertise)).revision, 0);
    for (const heal of heals) await heal();
    await waitForRevision(system, 1);
    const resent = { expectedRevision: 0, orderId: 'isolated' };
    const reply = await applyThrough(system, leader.name, fleetWithTeam('lost'), resent);
    assert.deepEqual(reply, { ...accepted, kind: 'conflict' });
    for (const { advertise } of system.machines) {
      assert.equal((await system.operator.status(advertise)).digest, accepted.digest);
    }
  });

  it('answers no stale query after it was paused for longer than its lease', async () => {
    await using system = await startFormedSystem();
    const controls = controlNames(system);
    const first = { expectedRevision: 0, orderId: 'first' };
    await applyThrough(system, controls[0] ?? '', fleetWithTeam('one'), first);
    const leader = await waitForLeader(system, controls, 'fleet');
    const others = controls.filter((name) => name !== leader.name);
    system.processes.pause(leader.name);
    const second = { expectedRevision: 1, orderId: 'second' };
    const accepted = await applyThrough(system, others[0] ?? '', fleetWithTeam('two'), second);
    assert.equal(accepted.kind, 'accepted');
    const queries = Array.from({ length: 20 }, async () =>
      system.operator.call(leader.advertise, 'group.query', query, RECOVERY_TIMEOUT_MILLISECONDS),
    );
    system.processes.resume(leader.name);
    for (const reply of await Promise.all(queries)) {
      if (reply.kind === 'result') assert.equal(revisionOf(reply.value), 2);
    }
    await waitForRevision(system, 2);
  });
});
