import { writeFile } from 'node:fs/promises';
import type { MeasureSummary } from './measureSummary.js';

const WIDTH = 640;
const HEIGHT = 360;

interface PlotPoint {
  readonly replicas: number;
  readonly seconds: number;
  readonly series: string;
}

function plotPoints(summaries: readonly MeasureSummary[]): readonly PlotPoint[] {
  const measured = summaries.map(({ plan, replicas, secondsToLive }) => ({
    replicas,
    seconds: secondsToLive,
    series: plan,
  }));
  const limits = new Map(
    summaries.map(({ replicas, limitSeconds }) => [
      replicas,
      { replicas, seconds: limitSeconds, series: 'limit' },
    ]),
  );
  return [...measured, ...limits.values()].filter(({ seconds }) => Number.isFinite(seconds));
}

/** Plots the time until all replicas are live by replica count, as an SVG file. */
export async function writePlot(path: string, summaries: readonly MeasureSummary[]): Promise<void> {
  const [{ compile }, { parse, View }] = await Promise.all([import('vega-lite'), import('vega')]);
  const { spec } = compile({
    title: 'Time until a new version is live on N replicas',
    width: WIDTH,
    height: HEIGHT,
    data: { values: plotPoints(summaries).map((point) => ({ ...point })) },
    mark: { type: 'line', point: true },
    encoding: {
      x: { field: 'replicas', type: 'quantitative', title: 'replicas' },
      y: { field: 'seconds', type: 'quantitative', title: 'seconds until the last is live' },
      color: { field: 'series', type: 'nominal', title: 'plan' },
    },
  });
  const view = new View(parse(spec), { renderer: 'none' });
  await writeFile(path, await view.toSVG());
  view.finalize();
}
