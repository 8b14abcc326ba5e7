import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createAttemptGate } from '../src/attemptGate.js';

describe('createAttemptGate', () => {
  it('closes once all admitted attempts have left, and keeps others waiting until it opens', async () => {
    const gate = createAttemptGate();
    assert.ok(await gate.enter(0));
    const order: string[] = [];
    const closed = gate.close().then(() => order.push('closed'));
    const waiting = gate
      .enter(5_000)
      .then((entered) => order.push(entered ? 'entered' : 'refused'));
    order.push('left');
    gate.leave();
    await closed;
    gate.open();
    await waiting;
    assert.deepEqual(order, ['left', 'closed', 'entered']);
    assert.equal(gate.activeCount, 1);
  });

  it('refuses an attempt whose wait timed out', async () => {
    const gate = createAttemptGate();
    await gate.close();
    assert.equal(await gate.enter(10), false);
    assert.equal(gate.activeCount, 0);
  });
});
