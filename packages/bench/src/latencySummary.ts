import { build, type Histogram } from 'hdr-histogram-js';

const MAXIMUM_MILLISECONDS = 120_000;
const SIGNIFICANT_DIGITS = 3;

/** Latency distribution, in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly highest: number;
}

/** Records latencies, in milliseconds. */
export interface LatencyRecorder {
  record(milliseconds: number): void;
  summary(): LatencySummary;
}

/** The histogram counts whole microseconds, so that short latencies keep their precision. */
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Creates an empty recorder. */
export function createLatencyRecorder(): LatencyRecorder {
  const histogram: Histogram = build({
    highestTrackableValue: MAXIMUM_MILLISECONDS * MICROSECONDS_PER_MILLISECOND,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  const valueAt = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
  return {
    record: (milliseconds) => {
      const bounded = Math.min(MAXIMUM_MILLISECONDS, Math.max(0, milliseconds));
      histogram.recordValue(Math.round(bounded * MICROSECONDS_PER_MILLISECOND));
    },
    summary: () => ({
      count: histogram.totalCount,
      p50: valueAt(50),
      p95: valueAt(95),
      p99: valueAt(99),
      highest: histogram.maxValue / MICROSECONDS_PER_MILLISECOND,
    }),
  };
}
