import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { assertGolden, runCommand, sessionOf } from './commandSession.js';
import { createFakeFleet } from './fakeFleet.js';

const first = 'packages/cli/__tests__/programs/harbour.mjs';
const next = 'packages/cli/__tests__/programs/harbourNext.mjs';
const faulty = 'packages/cli/__tests__/programs/faulty.mjs';

describe('config plan and apply', () => {
  it('print the configuration and the difference, then apply once', async () => {
    await using fleet = await createFakeFleet();
    const session = await sessionOf(
      [
        ['config', 'plan', first],
        ['config', 'apply', first, '--yes', '--order-id', 'order-1'],
        ['config', 'apply', first, '--yes'],
        ['config', 'plan', next],
        ['config', 'plan', next, '--json'],
        ['config', 'apply', next],
        ['config', 'apply', next, '--yes', '--order-id', 'order-2', '--expect-revision', '0'],
        ['config', 'apply', next, '--yes', '--order-id', 'order-3', '--json'],
        ['config', 'apply', first, '--yes', '--order-id', 'order-1', '--expect-revision', '0'],
        ['config', 'apply', faulty, '--yes'],
      ],
      { BURDOCKRAIL_PROFILE: fleet.profile },
    );
    assertGolden('apply', session);
    assert.equal(fleet.state.committed.length, 2);
  });

  it('resends an order whose answer was lost under the same id', async () => {
    await using fleet = await createFakeFleet();
    fleet.state.answersToLose = 2;
    const result = await runCommand(['config', 'apply', first, '-y', '--profile', fleet.profile]);
    assert.match(result.standardOutput, /accepted: revision 1/u);
    assert.equal(result.exitCode, 0);
    assert.equal(fleet.state.committed.length, 1);
    assert.equal(fleet.state.orders.length, 3);
    assert.equal(new Set(fleet.state.orders.map((order) => order.orderId)).size, 1);
  });

  it('sends an order to the next process when the first stays silent', async () => {
    await using fleet = await createFakeFleet();
    fleet.state.silent = 'one';
    const parameters = ['--timeout', '5', '--profile', fleet.profile];
    const result = await runCommand(['config', 'apply', first, '-y', ...parameters]);
    assert.match(result.standardOutput, /accepted: revision 1/u);
    assert.equal(fleet.state.committed.length, 1);
    assert.equal(fleet.state.orders.length, 2);
  });

  it('tells the order id when no answer came in time', async () => {
    await using fleet = await createFakeFleet();
    fleet.state.answersToLose = Infinity;
    const parameters = ['--order-id', 'order-9', '--timeout', '1', '--profile', fleet.profile];
    const result = await runCommand(['config', 'apply', first, '-y', ...parameters]);
    assert.equal(result.exitCode, 1);
    assert.match(result.standardError, /^433 OrderNotConfirmed: .*--order-id order-9/u);
  });

  it('form the groups of a fleet once', async () => {
    await using fleet = await createFakeFleet();
    const form = ['cluster', 'form'];
    const environment = { BURDOCKRAIL_PROFILE: fleet.profile };
    assertGolden('form', await sessionOf([form, form, [...form, '--json']], environment));
  });
});
