import { build, type Histogram } from 'hdr-histogram-js';
import type { MetricFamily, MetricSample } from './metricsText.js';

/** Labels of a recorded duration. */
export interface HistogramLabels {
  readonly team: string;
  readonly class: string;
}

/** Histograms of one kind of duration, one per team and class. */
export interface RequestHistograms {
  /** Records a duration in milliseconds. */
  record(labels: HistogramLabels, milliseconds: number): void;
  /** Returns the duration in milliseconds at a percentile (0 to 100); 0 if nothing is recorded. */
  percentile(labels: HistogramLabels, percentile: number): number;
  /** Returns the histograms as one metric family, in seconds. */
  family(): MetricFamily;
}

/** Upper limit to which durations are clamped, in microseconds. */
const MAXIMUM_DURATION_MICROSECONDS = 3_600_000_000;

/** Significant decimal digits of a recorded value. */
const SIGNIFICANT_DIGITS = 2;

/** Beyond this number of histograms, new pairs of team and class share one. */
const MAXIMUM_HISTOGRAMS = 512;

const MICROSECONDS_PER_MILLISECOND = 1_000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const EXPOSED_PERCENTILES = [50, 90, 95, 99] as const;
const OVERFLOW_LABELS: HistogramLabels = { team: 'other', class: 'other' };

interface LabelledHistogram {
  readonly labels: HistogramLabels;
  readonly histogram: Histogram;
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

function samplesOf(
  name: string,
  { labels, histogram }: LabelledHistogram,
): readonly MetricSample[] {
  const quantiles = EXPOSED_PERCENTILES.map((percentile) => ({
    name,
    labels: { ...labels, quantile: String(percentile / 100) },
    value: histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_SECOND,
  }));
  const count = histogram.totalCount;
  const sum = (histogram.mean * count) / MICROSECONDS_PER_SECOND;
  return [
    ...quantiles,
    { name: `${name}_sum`, labels: { ...labels }, value: count === 0 ? 0 : sum },
    { name: `${name}_count`, labels: { ...labels }, value: count },
  ];
}

/** Creates the histograms of one kind of duration. */
export function createRequestHistograms(name: string): RequestHistograms {
  const histograms = new Map<string, LabelledHistogram>();
  const keyOf = (labels: HistogramLabels): string => `${labels.team}\n${labels.class}`;

  const histogramFor = (labels: HistogramLabels): Histogram => {
    const existing = histograms.get(keyOf(labels));
    if (existing !== undefined) return existing.histogram;
    if (histograms.size >= MAXIMUM_HISTOGRAMS && labels !== OVERFLOW_LABELS)
      return histogramFor(OVERFLOW_LABELS);
    const created = { labels, histogram: createHistogram() };
    histograms.set(keyOf(labels), created);
    return created.histogram;
  };

  return {
    record: (labels, milliseconds) => {
      const microseconds = Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND);
      const clamped = Math.max(1, Math.min(MAXIMUM_DURATION_MICROSECONDS, microseconds));
      histogramFor(labels).recordValue(clamped);
    },
    percentile: (labels, percentile) => {
      const existing = histograms.get(keyOf(labels));
      if (existing === undefined) return 0;
      return existing.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
    },
    family: () => ({
      name,
      help: 'Durations by team and class.',
      type: 'summary',
      samples: [...histograms.values()].flatMap((labelled) => samplesOf(name, labelled)),
    }),
  };
}
