import { toResultError, ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { compareStrings } from '@burdockrail/common/strings.js';
import { formatAddress, type Address } from '@burdockrail/protocol/protocolAddress.js';
import { readPage } from './entryHttp.js';
import { parseMetrics, type MetricValue } from './metricsSample.js';

/** Durations of one team and class at one entry, in milliseconds. */
export interface DurationRow {
  readonly metric: string;
  readonly entry: string;
  readonly team: string;
  readonly class: string;
  readonly count: number;
  /** Milliseconds by percentile, for example `95`. */
  readonly percentiles: Readonly<Record<string, number>>;
}

/** Requests with one result over all entries. */
export interface ResultRow {
  readonly team: string;
  readonly service: string;
  readonly code: string;
  readonly result: string;
  readonly count: number;
}

/** What the entries' metrics say. */
export interface MetricsReport {
  readonly durations: readonly DurationRow[];
  readonly results: readonly ResultRow[];
  /** Entries that did not answer, with the reason. */
  readonly silent: readonly { readonly entry: string; readonly reason: string }[];
}

/** Metrics of one entry. */
export interface EntryMetricsPage {
  readonly entry: string;
  readonly values: readonly MetricValue[];
}

const MICROSECONDS_PER_SECOND = 1_000_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;
const REQUESTS_METRIC = 'burdockrail_requests_total';

/** Reads the metrics of all entries; rejects when none answers. */
export async function readReport(http: readonly Address[]): Promise<MetricsReport> {
  const pages: EntryMetricsPage[] = [];
  const silent: { entry: string; reason: string }[] = [];
  await Promise.all(
    http.map(async (address) => {
      const entry = formatAddress(address);
      try {
        const { body } = await readPage(address, '/metrics');
        pages.push({ entry, values: parseMetrics(body) });
      } catch (error) {
        silent.push({ entry, reason: toResultError(error, ResultCode.ConnectionLost).message });
      }
    }),
  );
  if (pages.length === 0) {
    const reasons = silent.map(({ entry, reason }) => `${entry}: ${reason}`);
    throw new ResultError(ResultCode.ProcessesUnreachable, reasons.join('; '));
  }
  return { ...metricsReport(pages), silent };
}

/**
 * Puts the metrics of entries together.
 *
 * @remarks
 * Counts are added up. Percentiles stay apart by entry, because those of several histograms cannot
 * be joined once only the percentiles are known.
 */
export function metricsReport(pages: readonly EntryMetricsPage[]): Omit<MetricsReport, 'silent'> {
  return {
    durations: pages
      .flatMap(durationRows)
      .sort((left, right) => compareStrings(durationKey(left), durationKey(right))),
    results: resultRows(pages.flatMap((page) => page.values)),
  };
}

function durationRows({ entry, values }: EntryMetricsPage): readonly DurationRow[] {
  const rows = new Map<string, DurationRow>();
  for (const { name, labels, value } of values) {
    const { quantile, team, class: requestClass } = labels;
    if (quantile === undefined || team === undefined || requestClass === undefined) continue;
    const key = [name, team, requestClass].join('\n');
    const known = rows.get(key)?.percentiles ?? {};
    const percentiles = {
      ...known,
      [String(Number(quantile) * 100)]: roundedMilliseconds(value),
    };
    const count = countOf(values, name, team, requestClass);
    rows.set(key, { metric: name, entry, team, class: requestClass, count, percentiles });
  }
  return [...rows.values()];
}

/** Milliseconds to the microsecond; the metrics are no finer. */
function roundedMilliseconds(seconds: number): number {
  return Math.round(seconds * MICROSECONDS_PER_SECOND) / MICROSECONDS_PER_MILLISECOND;
}

function countOf(
  values: readonly MetricValue[],
  name: string,
  team: string,
  requestClass: string,
): number {
  const sample = values.find(
    (value) =>
      value.name === `${name}_count` &&
      value.labels.team === team &&
      value.labels.class === requestClass,
  );
  return sample?.value ?? 0;
}

function resultRows(values: readonly MetricValue[]): readonly ResultRow[] {
  const rows = new Map<string, ResultRow>();
  for (const { name, labels, value } of values) {
    if (name !== REQUESTS_METRIC) continue;
    const { team = '', service = '', code = '', result = '' } = labels;
    const key = [team, service, code].join('\n');
    const count = (rows.get(key)?.count ?? 0) + value;
    rows.set(key, { team, service, code, result, count });
  }
  return [...rows.entries()]
    .sort(([left], [right]) => compareStrings(left, right))
    .map(([, row]) => row);
}

function durationKey({ metric, team, class: requestClass, entry }: DurationRow): string {
  return [metric, team, requestClass, entry].join('\n');
}
