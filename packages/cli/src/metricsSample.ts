/** One sample of a metric in the Prometheus text format. */
export interface MetricSample {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

const SAMPLE_PATTERN = /^([a-z_:][\w:]*)(?:\{(.*)\})? (\S+)$/iu;
const LABEL_PATTERN = /(\w+)="((?:[^"\\]|\\.)*)"/gu;
const escapeSequences: Readonly<Record<string, string>> = { n: '\n', '"': '"', '\\': '\\' };

/** Parses the Prometheus text format; comments and unrecognized lines are skipped. */
export function parseMetrics(text: string): readonly MetricSample[] {
  return text.split('\n').flatMap((line) => {
    const [, name, labels, value] = SAMPLE_PATTERN.exec(line) ?? [];
    if (name === undefined || value === undefined) return [];
    return [{ name, labels: parseLabels(labels ?? ''), value: Number(value) }];
  });
}

function parseLabels(text: string): Readonly<Record<string, string>> {
  const pairs = [...text.matchAll(LABEL_PATTERN)].map(([, key = '', value = '']) => [
    key,
    value.replace(/\\(.)/gu, (_, escaped: string) => escapeSequences[escaped] ?? escaped),
  ]);
  return Object.fromEntries(pairs) as Readonly<Record<string, string>>;
}
