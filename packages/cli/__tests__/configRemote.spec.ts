import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { assertGolden, runCommand, runSession } from './commandSession.js';
import { createFakeFleet } from './fakeFleet.js';

const program = 'packages/cli/__tests__/programs/harbour.mjs';
const update = 'packages/cli/__tests__/programs/harbourNext.mjs';
const faultyProgram = 'packages/cli/__tests__/programs/faulty.mjs';

describe('config plan and apply', () => {
  it('print the configuration and its changes, and apply each order once', async () => {
    await using fleet = await createFakeFleet();
    const transcript = await runSession(
      [
        ['config', 'plan', program],
        ['config', 'apply', program, '--yes', '--order-id', 'order-1'],
        ['config', 'apply', program, '--yes'],
        ['config', 'plan', update],
        ['config', 'plan', update, '--json'],
        ['config', 'apply', update],
        ['config', 'apply', update, '--yes', '--order-id', 'order-2', '--expect-revision', '0'],
        ['config', 'apply', update, '--yes', '--order-id', 'order-3', '--json'],
        ['config', 'apply', program, '--yes', '--order-id', 'order-1', '--expect-revision', '0'],
        ['config', 'apply', faultyProgram, '--yes'],
      ],
      { BURDOCKRAIL_PROFILE: fleet.profile },
    );
    assertGolden('apply', transcript);
    assert.equal(fleet.state.committed.length, 2);
  });

  it('resends an order under the same id after its answer was lost', async () => {
    await using fleet = await createFakeFleet();
    fleet.state.repliesToDrop = 2;
    const result = await runCommand(['config', 'apply', program, '-y', '--profile', fleet.profile]);
    assert.match(result.standardOutput, /accepted: revision 1/u);
    assert.equal(result.exitCode, 0);
    assert.equal(fleet.state.committed.length, 1);
    assert.equal(fleet.state.orders.length, 3);
    assert.equal(new Set(fleet.state.orders.map((order) => order.orderId)).size, 1);
  });

  it('sends an order to the next process if the first does not answer', async () => {
    await using fleet = await createFakeFleet();
    fleet.state.unresponsiveProcess = 'one';
    const flags = ['--timeout', '5', '--profile', fleet.profile];
    const result = await runCommand(['config', 'apply', program, '-y', ...flags]);
    assert.match(result.standardOutput, /accepted: revision 1/u);
    assert.equal(fleet.state.committed.length, 1);
    assert.equal(fleet.state.orders.length, 2);
  });

  it('reports the order id if no answer arrives before the timeout', async () => {
    await using fleet = await createFakeFleet();
    fleet.state.repliesToDrop = Infinity;
    const flags = ['--order-id', 'order-9', '--timeout', '1', '--profile', fleet.profile];
    const result = await runCommand(['config', 'apply', program, '-y', ...flags]);
    assert.equal(result.exitCode, 1);
    assert.match(result.standardError, /^433 OrderNotConfirmed: .*--order-id order-9/u);
  });

  it('forms the groups of a fleet only once', async () => {
    await using fleet = await createFakeFleet();
    const form = ['cluster', 'form'];
    const environment = { BURDOCKRAIL_PROFILE: fleet.profile };
    assertGolden('form', await runSession([form, form, [...form, '--json']], environment));
  });
});
