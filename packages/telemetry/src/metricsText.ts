/** One value of a metric. */
export interface MetricSample {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

/** All samples of one metric, with its help text and type. */
export interface MetricFamily {
  readonly name: string;
  readonly help: string;
  readonly type: 'counter' | 'gauge' | 'summary';
  readonly samples: readonly MetricSample[];
}

function escapeLabel(value: string): string {
  return value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');
}

function sampleLine({ name, labels, value }: MetricSample): string {
  const pairs = Object.entries(labels).map(([key, text]) => `${key}="${escapeLabel(text)}"`);
  return `${name}${pairs.length === 0 ? '' : `{${pairs.join(',')}}`} ${value}`;
}

/** Formats families in the Prometheus text exposition format. */
export function metricsText(families: readonly MetricFamily[]): string {
  const lines = families.flatMap(({ name, help, type, samples }) => [
    `# HELP ${name} ${help}`,
    `# TYPE ${name} ${type}`,
    ...samples.map(sampleLine),
  ]);
  return `${lines.join('\n')}\n`;
}
