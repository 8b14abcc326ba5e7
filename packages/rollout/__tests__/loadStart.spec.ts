import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createStagingProgress, loadStartAt } from '../src/loadStart.js';

describe('the load start of an engine', () => {
  const agents = ['a', 'b', 'c', 'd', 'e'];
  const baseOptions = {
    versionKey: 'm 2',
    agents,
    namedAt: 1_000,
    switchTimeoutMilliseconds: 8_000,
  };

  it('differs between engines and leaves time before the deadline of the version', () => {
    const loadStarts = agents.map((self) => loadStartAt({ ...baseOptions, self }));
    assert.equal(new Set(loadStarts).size, agents.length);
    assert.equal(Math.min(...loadStarts), 4_600);
    assert.ok(Math.max(...loadStarts) < 9_000 - 1_000);
  });

  it('is the start of the window for a single engine', () => {
    assert.equal(loadStartAt({ ...baseOptions, agents: ['a'], self: 'a' }), 4_600);
  });
});

describe('the staging progress', () => {
  it('estimates completion from the current rate of arrivals', () => {
    const progress = createStagingProgress();
    assert.equal(progress.expectedCompletionAt(96, 0), Number.POSITIVE_INFINITY);
    for (let now = 0; now <= 2_000; now += 100) progress.record(Math.floor(now / 50), now);
    assert.equal(progress.expectedCompletionAt(96, 2_000), 2_000 + 56 * 50);
    progress.record(96, 2_100);
    assert.equal(progress.expectedCompletionAt(96, 2_100), 2_100);
  });

  it('estimates no completion while no chunk arrives, and restarts with another version', () => {
    const progress = createStagingProgress();
    for (let now = 0; now <= 500; now += 100) progress.record(now / 10, now);
    for (let now = 600; now <= 2_000; now += 100) progress.record(50, now);
    assert.equal(progress.expectedCompletionAt(96, 2_000), Number.POSITIVE_INFINITY);
    progress.record(0, 2_100);
    assert.equal(progress.expectedCompletionAt(96, 2_100), Number.POSITIVE_INFINITY);
  });
});
