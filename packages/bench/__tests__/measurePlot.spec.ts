import assert from 'node:assert/strict';
import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { parseMeasureOptions } from '../src/measureOptions.js';
import { writePlot } from '../src/measurePlot.js';
import { summarizeRuns } from '../src/measureSummary.js';
import type { MeasuredRun } from '../src/measureRun.js';

function run(replicas: number, seconds: number): MeasuredRun {
  const benchCores = { proxy: 0, standins: 0, load: 0 };
  const usage = { roles: {}, benchCores, busyShare: 0 };
  return {
    plan: 'swarm',
    replicas,
    rollout: { secondsToLive: [seconds], missing: 0, originCopies: 1, copiesByRegion: { a: 0 } },
    idleUsage: usage,
    rolloutUsage: usage,
  };
}

describe('writePlot', () => {
  it('plots the medians of the rounds and the limit', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'burdockrail-plot-'));
    const options = parseMeasureOptions(['--replicas', '12,24']);
    const summaries = [
      summarizeRuns(options, [run(12, 9), run(12, 11), run(12, 10)]),
      summarizeRuns(options, [run(24, 12)]),
    ];
    assert.equal(summaries[0]?.secondsToLive, 10);
    const path = join(folder, 'plot.svg');
    await writePlot(path, summaries);
    const svg = await readFile(path, 'utf8');
    assert.match(svg, /^<svg/u);
    assert.match(svg, /swarm/u);
    assert.match(svg, /limit/u);
    await rm(folder, { recursive: true });
  });
});
