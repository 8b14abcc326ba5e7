/** One value of a metric as a page of metrics tells it. */
export interface MetricValue {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

const SAMPLE = /^([a-z_:][\w:]*)(?:\{(.*)\})? (\S+)$/iu;
const LABEL = /(\w+)="((?:[^"\\]|\\.)*)"/gu;
const escapes: Readonly<Record<string, string>> = { n: '\n', '"': '"', '\\': '\\' };

/** Reads the text exposition format; comments and lines of another form are left out. */
export function parseMetrics(text: string): readonly MetricValue[] {
  return text.split('\n').flatMap((line) => {
    const [, name, labels, value] = SAMPLE.exec(line) ?? [];
    if (name === undefined || value === undefined) return [];
    return [{ name, labels: parseLabels(labels ?? ''), value: Number(value) }];
  });
}

function parseLabels(text: string): Readonly<Record<string, string>> {
  const pairs = [...text.matchAll(LABEL)].map(([, key = '', value = '']) => [
    key,
    value.replace(/\\(.)/gu, (_, escaped: string) => escapes[escaped] ?? escaped),
  ]);
  return Object.fromEntries(pairs) as Readonly<Record<string, string>>;
}
