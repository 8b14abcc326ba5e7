import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createTurnDesk, turnsAtOnce } from '../src/rolloutTurn.js';

describe('the turn to switch weights', () => {
  it('is granted to at most a third of the upstreams concurrently, rounded up', () => {
    assert.deepEqual([1, 2, 3, 4, 16].map(turnsAtOnce), [1, 1, 1, 2, 6]);
    const turnLeases = createTurnDesk();
    assert.ok(turnLeases.take('a', 2, 0));
    assert.ok(turnLeases.take('b', 2, 0));
    assert.ok(!turnLeases.take('c', 2, 0));
    assert.ok(turnLeases.take('a', 2, 0), 'a holder keeps its turn when it asks again');
    turnLeases.giveBack('b');
    assert.ok(turnLeases.take('c', 2, 0));
  });

  it('expires when its holder died without releasing it', () => {
    const turnLeases = createTurnDesk();
    assert.ok(turnLeases.take('a', 1, 0));
    assert.ok(!turnLeases.take('b', 1, 29_000));
    assert.ok(turnLeases.take('b', 1, 30_000));
  });
});
