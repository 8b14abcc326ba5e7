import { toResultError, ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { compareStrings } from '@burdockrail/common/strings.js';
import { formatAddress, type Address } from '@burdockrail/protocol/protocolAddress.js';
import { fetchFromEntry } from './entryHttp.js';
import { parseMetrics, type MetricSample } from './metricsSample.js';

/** Request durations of one team and class at one entry, in milliseconds. */
export interface DurationRow {
  readonly metric: string;
  readonly entry: string;
  readonly team: string;
  readonly class: string;
  readonly count: number;
  /** Milliseconds by percentile, for example `95`. */
  readonly percentiles: Readonly<Record<string, number>>;
}

/** Number of requests with one result, over all entries. */
export interface ResultRow {
  readonly team: string;
  readonly service: string;
  readonly code: string;
  readonly result: string;
  readonly count: number;
}

/** Metrics of all entries. */
export interface MetricsReport {
  readonly durations: readonly DurationRow[];
  readonly results: readonly ResultRow[];
  /** Entries that did not answer, with the reason. */
  readonly silent: readonly { readonly entry: string; readonly reason: string }[];
}

/** Metric samples of one entry. */
export interface EntryMetrics {
  readonly entry: string;
  readonly samples: readonly MetricSample[];
}

const MICROSECONDS_PER_SECOND = 1_000_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;
const REQUESTS_METRIC = 'burdockrail_requests_total';

/** Reads the metrics of all entries; rejects if none answers. */
export async function readReport(http: readonly Address[]): Promise<MetricsReport> {
  const entryMetrics: EntryMetrics[] = [];
  const silent: { entry: string; reason: string }[] = [];
  await Promise.all(
    http.map(async (address) => {
      const entry = formatAddress(address);
      try {
        const { body } = await fetchFromEntry(address, '/metrics');
        entryMetrics.push({ entry, samples: parseMetrics(body) });
      } catch (error) {
        silent.push({ entry, reason: toResultError(error, ResultCode.ConnectionLost).message });
      }
    }),
  );
  if (entryMetrics.length === 0) {
    const reasons = silent.map(({ entry, reason }) => `${entry}: ${reason}`);
    throw new ResultError(ResultCode.ProcessesUnreachable, reasons.join('; '));
  }
  return { ...mergeEntryMetrics(entryMetrics), silent };
}

/**
 * Merges the metrics of entries.
 *
 * @remarks
 * Counts are summed. Percentiles are reported for each entry, because the percentiles of several
 * histograms cannot be merged without the histograms.
 */
export function mergeEntryMetrics(
  entryMetrics: readonly EntryMetrics[],
): Omit<MetricsReport, 'silent'> {
  return {
    durations: entryMetrics
      .flatMap(durationRows)
      .sort((left, right) => compareStrings(durationSortKey(left), durationSortKey(right))),
    results: resultRows(entryMetrics.flatMap((metrics) => metrics.samples)),
  };
}

function durationRows({ entry, samples }: EntryMetrics): readonly DurationRow[] {
  const rows = new Map<string, DurationRow>();
  for (const { name, labels, value } of samples) {
    const { quantile, team, class: requestClass } = labels;
    if (quantile === undefined || team === undefined || requestClass === undefined) continue;
    const key = [name, team, requestClass].join('\n');
    const knownPercentiles = rows.get(key)?.percentiles ?? {};
    const percentiles = {
      ...knownPercentiles,
      [String(Number(quantile) * 100)]: toRoundedMilliseconds(value),
    };
    const count = requestCount(samples, name, team, requestClass);
    rows.set(key, { metric: name, entry, team, class: requestClass, count, percentiles });
  }
  return [...rows.values()];
}

/** Converts to milliseconds, rounded to a microsecond, the resolution of the metrics. */
function toRoundedMilliseconds(seconds: number): number {
  return Math.round(seconds * MICROSECONDS_PER_SECOND) / MICROSECONDS_PER_MILLISECOND;
}

function requestCount(
  samples: readonly MetricSample[],
  name: string,
  team: string,
  requestClass: string,
): number {
  const sample = samples.find(
    (value) =>
      value.name === `${name}_count` &&
      value.labels.team === team &&
      value.labels.class === requestClass,
  );
  return sample?.value ?? 0;
}

function resultRows(samples: readonly MetricSample[]): readonly ResultRow[] {
  const rows = new Map<string, ResultRow>();
  for (const { name, labels, value } of samples) {
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

function durationSortKey({ metric, team, class: requestClass, entry }: DurationRow): string {
  return [metric, team, requestClass, entry].join('\n');
}
