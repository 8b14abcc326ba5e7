import type { DurationRow, MetricsReport } from './metricsReport.js';
import { tableLines } from './textTable.js';

const displayedPercentiles = ['50', '90', '95', '99'] as const;

/** Formats a report as text lines: durations in milliseconds, then result counts. */
export function reportLines(report: MetricsReport): readonly string[] {
  const metrics = [...new Set(report.durations.map((row) => row.metric))];
  return [
    ...metrics.flatMap((metric) => durationLines(metric, report.durations)),
    ...resultLines(report),
    ...report.silent.map(({ entry, reason }) => `no answer from ${entry}: ${reason}`),
  ];
}

function durationLines(metric: string, durations: readonly DurationRow[]): readonly string[] {
  const header = [
    'team',
    'class',
    'entry',
    'count',
    ...displayedPercentiles.map((name) => `p${name}`),
  ];
  const rows = durations
    .filter((row) => row.metric === metric)
    .map((row) => [
      row.team,
      row.class,
      row.entry,
      String(row.count),
      ...displayedPercentiles.map((name) => formatMilliseconds(row.percentiles[name])),
    ]);
  return [`${metric} (milliseconds)`, ...indentLines(tableLines(header, rows))];
}

function resultLines({ results }: MetricsReport): readonly string[] {
  const rows = results.map(({ team, service, code, result, count }) => [
    team,
    service,
    `${code} ${result}`,
    String(count),
  ]);
  return ['results', ...indentLines(tableLines(['team', 'service', 'result', 'count'], rows))];
}

function indentLines(lines: readonly string[]): readonly string[] {
  return lines.map((line) => `  ${line}`);
}

function formatMilliseconds(value: number | undefined): string {
  return value === undefined ? '-' : value.toFixed(1);
}
