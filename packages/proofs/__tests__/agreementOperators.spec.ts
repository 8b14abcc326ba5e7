import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  applyThrough,
  controlNames,
  fleetWithTeam,
  waitForLeader,
  startFormedSystem,
} from './agreementSystem.js';

const OPERATORS = 9;
const ROUNDS = 10;

describe('concurrent configuration changes', () => {
  it('are accepted once per revision; all others get a conflict', async () => {
    await using system = await startFormedSystem();
    const controls = controlNames(system);
    for (let revision = 0; revision < ROUNDS; revision += 1) {
      const orders = Array.from({ length: OPERATORS }, async (_order, operator) =>
        applyThrough(
          system,
          controls[operator % controls.length] ?? '',
          fleetWithTeam(`team-${operator}`),
          { expectedRevision: revision, orderId: `order-${revision}-${operator}` },
        ),
      );
      const replies = await Promise.all(orders);
      const accepted = replies.filter((reply) => reply.kind === 'accepted');
      assert.equal(accepted.length, 1, `revision ${revision + 1}`);
      assert.equal(accepted[0]?.revision, revision + 1);
      for (const reply of replies) assert.equal(reply.digest, accepted[0].digest);
    }
  });

  it('get the original answer when an order is resent, also from a new leader', async (context) => {
    await using system = await startFormedSystem();
    const controls = controlNames(system);
    const order = { expectedRevision: 0, orderId: 'first' };
    const leader = await waitForLeader(system, controls, 'fleet');
    const others = controls.filter((name) => name !== leader.name);
    const [other = '', another = ''] = others;
    const first = await applyThrough(system, leader.name, fleetWithTeam('one'), order);
    assert.equal(first.kind, 'accepted');
    const second = { expectedRevision: 1, orderId: 'second' };
    await applyThrough(system, other, fleetWithTeam('two'), second);
    await system.processes.kill(leader.name);
    const killedAt = performance.now();
    assert.deepEqual(await applyThrough(system, another, fleetWithTeam('one'), order), first);
    const milliseconds = (performance.now() - killedAt).toFixed(0);
    context.diagnostic(`answer after the leader was killed: ${milliseconds} ms`);
    const current = await system.operator.current(system.machine(other).advertise);
    assert.equal(current?.revision, 2);
  });
});
