import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createTurnDesk, turnsAtOnce } from '../src/rolloutTurn.js';

describe('the turn to switch weights', () => {
  it('is out to a third of the upstreams at the same time, rounded up', () => {
    assert.deepEqual([1, 2, 3, 4, 16].map(turnsAtOnce), [1, 1, 1, 2, 6]);
    const desk = createTurnDesk();
    assert.ok(desk.take('a', 2, 0));
    assert.ok(desk.take('b', 2, 0));
    assert.ok(!desk.take('c', 2, 0));
    assert.ok(desk.take('a', 2, 0), 'asking again keeps the turn');
    desk.giveBack('b');
    assert.ok(desk.take('c', 2, 0));
  });

  it('comes back by itself from an agent that died with it', () => {
    const desk = createTurnDesk();
    assert.ok(desk.take('a', 1, 0));
    assert.ok(!desk.take('b', 1, 29_000));
    assert.ok(desk.take('b', 1, 30_000));
  });
});
