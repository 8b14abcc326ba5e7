import type { DurationRow, MetricsReport } from './metricsReport.js';

// Dimensions of the chart, in pixels.
const BAR_HEIGHT = 14;
const ROW_HEIGHT = 20;
const LABEL_WIDTH = 360;
const PLOT_WIDTH = 480;
const VALUE_WIDTH = 120;
const MARGIN = 10;

/** Percentiles and their colours; drawn on top of each other, so the highest comes first. */
const drawnPercentiles = [
  { percentile: '99', colour: '#c9d6e8' },
  { percentile: '95', colour: '#86a3cc' },
  { percentile: '50', colour: '#2f5a9e' },
] as const;

/** Draws the median, 95th and 99th percentile as bars by metric, team, class and entry. */
export function reportSvg(report: MetricsReport): string {
  const rows = report.durations;
  const maximumMilliseconds = Math.max(1, ...rows.flatMap((row) => Object.values(row.percentiles)));
  const height = MARGIN * 2 + ROW_HEIGHT * (rows.length + 1);
  const width = MARGIN * 2 + LABEL_WIDTH + PLOT_WIDTH + VALUE_WIDTH;
  const title = 'median, 95th and 99th percentile in milliseconds';
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">`,
    `<text x="${MARGIN}" y="${MARGIN + BAR_HEIGHT}">${title}</text>`,
    ...rows.map((row, position) => rowElements(row, position + 1, maximumMilliseconds)),
    '</svg>',
    '',
  ].join('\n');
}

function rowElements(row: DurationRow, position: number, maximumMilliseconds: number): string {
  const y = MARGIN + position * ROW_HEIGHT;
  const baseline = y + BAR_HEIGHT - 2;
  const metric = row.metric.replace(/^burdockrail_/u, '');
  const label = escapeXml(`${metric} ${row.team} ${row.class} ${row.entry}`);
  const bars = drawnPercentiles.map(({ percentile, colour }) => {
    const width = ((row.percentiles[percentile] ?? 0) / maximumMilliseconds) * PLOT_WIDTH;
    const x = MARGIN + LABEL_WIDTH;
    return `<rect x="${x}" y="${y}" width="${width.toFixed(1)}" height="${BAR_HEIGHT}" fill="${colour}"/>`;
  });
  const values = drawnPercentiles.map(({ percentile }) =>
    (row.percentiles[percentile] ?? 0).toFixed(1),
  );
  const valueX = MARGIN + LABEL_WIDTH + PLOT_WIDTH + MARGIN;
  return [
    `<text x="${MARGIN}" y="${baseline}">${label}</text>`,
    ...bars,
    `<text x="${valueX}" y="${baseline}">${[...values].reverse().join(' / ')}</text>`,
  ].join('');
}

function escapeXml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}
