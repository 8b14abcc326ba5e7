import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createTurnLeases, maximumConcurrentTurns } from '../src/rolloutTurn.js';

describe('the turn to switch weights', () => {
  it('is granted to at most a third of the upstreams concurrently, rounded up', () => {
    assert.deepEqual([1, 2, 3, 4, 16].map(maximumConcurrentTurns), [1, 1, 1, 2, 6]);
    const turnLeases = createTurnLeases();
    assert.ok(turnLeases.tryAcquire('a', 2, 0));
    assert.ok(turnLeases.tryAcquire('b', 2, 0));
    assert.ok(!turnLeases.tryAcquire('c', 2, 0));
    assert.ok(turnLeases.tryAcquire('a', 2, 0), 'a holder keeps its turn when it asks again');
    turnLeases.release('b');
    assert.ok(turnLeases.tryAcquire('c', 2, 0));
  });

  it('expires when its holder died without releasing it', () => {
    const turnLeases = createTurnLeases();
    assert.ok(turnLeases.tryAcquire('a', 1, 0));
    assert.ok(!turnLeases.tryAcquire('b', 1, 29_000));
    assert.ok(turnLeases.tryAcquire('b', 1, 30_000));
  });
});
