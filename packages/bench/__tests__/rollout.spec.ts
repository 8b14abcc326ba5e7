import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { parseMeasureOptions } from '../src/measureOptions.js';
import { measureRun } from '../src/measureRun.js';
import { summarizeRuns } from '../src/measureSummary.js';

describe('measureRun', () => {
  it('measures a small rollout in which the origin sends one copy', async () => {
    const options = parseMeasureOptions(['--size', '1', '--window', '4', '--chunk', '32']);
    const run = await measureRun(options, 4, 'swarm');
    const summary = summarizeRuns(options, [run]);
    assert.equal(summary.missing, 0);
    assert.ok(summary.originCopies <= 1.05, `${summary.originCopies} copies`);
    assert.ok(summary.secondsToLive >= summary.limitSeconds * 0.95, `${summary.secondsToLive} s`);
  });
});
