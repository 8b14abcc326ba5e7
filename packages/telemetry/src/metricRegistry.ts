import { metricsText, type MetricFamily } from './metricsText.js';
import { createRequestHistograms, type RequestHistograms } from './requestHistograms.js';

/** Counters, gauges and histograms of one process. */
export interface MetricRegistry {
  /** Increments the counter with this name and these labels. */
  count(name: string, labels?: Readonly<Record<string, string>>, amount?: number): void;
  /** Registers a gauge whose value is read whenever the metrics are collected. */
  gauge(name: string, help: string, read: () => number): void;
  /** Registers a source of families that is read whenever the metrics are collected. */
  registerFamilies(read: () => readonly MetricFamily[]): void;
  /** Returns the duration histograms of this name, created on first use. */
  histogram(name: string): RequestHistograms;
  /** Formats all metrics in the Prometheus text exposition format. */
  text(): string;
}

/** Beyond this number of counters, new label sets share one counter without labels. */
const MAXIMUM_COUNTERS = 2_000;

interface Counter {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  value: number;
}

/** Creates an empty registry. */
export function createMetricRegistry(): MetricRegistry {
  const counters = new Map<string, Counter>();
  const gauges = new Map<string, { readonly help: string; readonly read: () => number }>();
  const histograms = new Map<string, RequestHistograms>();
  const familySources: (() => readonly MetricFamily[])[] = [];

  const counterFor = (name: string, labels: Readonly<Record<string, string>>): Counter => {
    const key = `${name}\n${Object.entries(labels).join('\n')}`;
    const existing = counters.get(key);
    if (existing !== undefined) return existing;
    if (counters.size >= MAXIMUM_COUNTERS && Object.keys(labels).length > 0) {
      return counterFor(name, {});
    }
    const created: Counter = { name, labels, value: 0 };
    counters.set(key, created);
    return created;
  };

  const counterFamilies = (): readonly MetricFamily[] => {
    const names = [...new Set([...counters.values()].map(({ name }) => name))];
    return names.map((name) => ({
      name,
      help: 'Events since the start of the process.',
      type: 'counter',
      samples: [...counters.values()].filter((counter) => counter.name === name),
    }));
  };

  const gaugeFamilies = (): readonly MetricFamily[] =>
    [...gauges].map(([name, { help, read }]) => ({
      name,
      help,
      type: 'gauge',
      samples: [{ name, labels: {}, value: read() }],
    }));

  return {
    count: (name, labels = {}, amount = 1) => {
      counterFor(name, labels).value += amount;
    },
    gauge: (name, help, read) => {
      gauges.set(name, { help, read });
    },
    registerFamilies: (read) => {
      familySources.push(read);
    },
    histogram: (name) => {
      const existing = histograms.get(name) ?? createRequestHistograms(name);
      histograms.set(name, existing);
      return existing;
    },
    text: () =>
      metricsText([
        ...counterFamilies(),
        ...gaugeFamilies(),
        ...familySources.flatMap((read) => read()),
        ...[...histograms.values()].map((histogram) => histogram.family()),
      ]),
  };
}
