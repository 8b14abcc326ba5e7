import { build, type Histogram } from 'hdr-histogram-js';

const HIGHEST_MILLISECONDS = 120_000;
const SIGNIFICANT_DIGITS = 3;

/** Distribution of times in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly highest: number;
}

/** Collects times in milliseconds. */
export interface LatencyRecorder {
  record(milliseconds: number): void;
  summary(): LatencySummary;
}

/** Microseconds are what the histogram counts, so that short times keep their digits. */
const UNITS_PER_MILLISECOND = 1_000;

/** Creates an empty recorder. */
export function createLatencyRecorder(): LatencyRecorder {
  const histogram: Histogram = build({
    highestTrackableValue: HIGHEST_MILLISECONDS * UNITS_PER_MILLISECOND,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  const at = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / UNITS_PER_MILLISECOND;
  return {
    record: (milliseconds) => {
      const bounded = Math.min(HIGHEST_MILLISECONDS, Math.max(0, milliseconds));
      histogram.recordValue(Math.round(bounded * UNITS_PER_MILLISECOND));
    },
    summary: () => ({
      count: histogram.totalCount,
      p50: at(50),
      p95: at(95),
      p99: at(99),
      highest: histogram.maxValue / UNITS_PER_MILLISECOND,
    }),
  };
}
