import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createAttemptGate } from '../src/attemptGate.js';

describe('the gate of attempts', () => {
  it('closes only when all inside have left, and holds the others until it opens', async () => {
    const gate = createAttemptGate();
    assert.ok(await gate.enter(0));
    const order: string[] = [];
    const closed = gate.close().then(() => order.push('closed'));
    const held = gate.enter(5_000).then((entered) => order.push(entered ? 'entered' : 'refused'));
    order.push('left');
    gate.leave();
    await closed;
    gate.open();
    await held;
    assert.deepEqual(order, ['left', 'closed', 'entered']);
    assert.equal(gate.inside, 1);
  });

  it('turns an attempt away that waited long enough', async () => {
    const gate = createAttemptGate();
    await gate.close();
    assert.equal(await gate.enter(10), false);
    assert.equal(gate.inside, 0);
  });
});
