import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createStagingProgress, loadTurnAt } from '../src/loadTurn.js';

describe('the load start of an engine', () => {
  const agents = ['a', 'b', 'c', 'd', 'e'];
  const baseOptions = { set: 'm 2', agents, namedAt: 1_000, boundMilliseconds: 8_000 };

  it('differs between engines and leaves time before the deadline of the version', () => {
    const loadStarts = agents.map((self) => loadTurnAt({ ...baseOptions, self }));
    assert.equal(new Set(loadStarts).size, agents.length);
    assert.equal(Math.min(...loadStarts), 4_600);
    assert.ok(Math.max(...loadStarts) < 9_000 - 1_000);
  });

  it('is the start of the window for a single engine', () => {
    assert.equal(loadTurnAt({ ...baseOptions, agents: ['a'], self: 'a' }), 4_600);
  });
});

describe('the staging progress', () => {
  it('estimates completion from the current rate of arrivals', () => {
    const progress = createStagingProgress();
    assert.equal(progress.expectedAt(96, 0), Number.POSITIVE_INFINITY);
    for (let now = 0; now <= 2_000; now += 100) progress.note(Math.floor(now / 50), now);
    assert.equal(progress.expectedAt(96, 2_000), 2_000 + 56 * 50);
    progress.note(96, 2_100);
    assert.equal(progress.expectedAt(96, 2_100), 2_100);
  });

  it('estimates no completion while no chunk arrives, and restarts with another version', () => {
    const progress = createStagingProgress();
    for (let now = 0; now <= 500; now += 100) progress.note(now / 10, now);
    for (let now = 600; now <= 2_000; now += 100) progress.note(50, now);
    assert.equal(progress.expectedAt(96, 2_000), Number.POSITIVE_INFINITY);
    progress.note(0, 2_100);
    assert.equal(progress.expectedAt(96, 2_100), Number.POSITIVE_INFINITY);
  });
});
