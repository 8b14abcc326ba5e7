import type { DurationRow, MetricsReport } from './metricsReport.js';
import { tableLines } from './textTable.js';

const shownPercentiles = ['50', '90', '95', '99'] as const;

/** Lines of a report for people: durations in milliseconds, then results. */
export function reportLines(report: MetricsReport): readonly string[] {
  const metrics = [...new Set(report.durations.map((row) => row.metric))];
  return [
    ...metrics.flatMap((metric) => durationLines(metric, report.durations)),
    ...resultLines(report),
    ...report.silent.map(({ entry, reason }) => `no answer of ${entry}: ${reason}`),
  ];
}

function durationLines(metric: string, durations: readonly DurationRow[]): readonly string[] {
  const head = ['team', 'class', 'entry', 'count', ...shownPercentiles.map((name) => `p${name}`)];
  const rows = durations
    .filter((row) => row.metric === metric)
    .map((row) => [
      row.team,
      row.class,
      row.entry,
      String(row.count),
      ...shownPercentiles.map((name) => formatMilliseconds(row.percentiles[name])),
    ]);
  return [`${metric} (milliseconds)`, ...indented(tableLines(head, rows))];
}

function resultLines({ results }: MetricsReport): readonly string[] {
  const rows = results.map(({ team, service, code, result, count }) => [
    team,
    service,
    `${code} ${result}`,
    String(count),
  ]);
  return ['results', ...indented(tableLines(['team', 'service', 'result', 'count'], rows))];
}

function indented(lines: readonly string[]): readonly string[] {
  return lines.map((line) => `  ${line}`);
}

function formatMilliseconds(value: number | undefined): string {
  return value === undefined ? '-' : value.toFixed(1);
}
