/** Outcomes of the requests that ended in one second, by name. */
export interface TimelineSecond {
  readonly second: number;
  readonly counts: ReadonlyMap<string, number>;
}

interface LogLine {
  readonly time: string;
  readonly name: string;
  readonly status?: number;
  readonly outcome?: string;
  readonly cause?: string;
  readonly first?: number | null;
  readonly pause?: number;
  readonly objective?: number | null;
  readonly version?: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Events of weights that are shown beside the requests. */
const weightsEvents: ReadonlySet<string> = new Set(['weightsStaged', 'weightsOrdered']);

/** Parses the JSON object at the end of a line; `null` for other text. */
function parseLine(line: string): LogLine | null {
  const start = line.indexOf('{');
  if (start < 0) return null;
  try {
    const parsed = JSON.parse(line.slice(start)) as Partial<LogLine>;
    return parsed.time === undefined || parsed.name === undefined ? null : (parsed as LogLine);
  } catch {
    // Logs of several processes may hold text that is not a log line.
    return null;
  }
}

/** Removes details of a cause that differ between requests, such as addresses and counts. */
function shortenCause(cause: string): string {
  return cause.replaceAll(/\d[\d.:]*/gu, 'n').replace(/:.*$/u, '');
}

function outcomeOf(line: LogLine, usualPause: number): string {
  const { status = 0, outcome = '', cause = '', first = null, objective = null } = line;
  if (outcome === 'callerLeft') return 'caller left';
  if (outcome === 'broken') return 'broken off';
  if (status >= 200 && status < 300) {
    if (first !== null && objective !== null && first > objective) return 'late first event';
    return (line.pause ?? 0) > usualPause ? 'late pause' : 'in time';
  }
  return cause === '' ? String(status) : `${status} ${shortenCause(cause)}`;
}

/**
 * Counts how requests ended, for each second, from the logs of entries and agents.
 *
 * @param lines - log lines, each with any prefix; other lines are ignored.
 * @param usualPause - pause between events beyond which a stream counts as late, in milliseconds.
 */
export function requestTimeline(
  lines: Iterable<string>,
  usualPause: number,
): readonly TimelineSecond[] {
  const seconds = new Map<number, Map<string, number>>();
  for (const text of lines) {
    const line = parseLine(text);
    if (line === null) continue;
    const isWeightsEvent = weightsEvents.has(line.name);
    if (line.name !== 'requestEnded' && !isWeightsEvent) continue;
    const name = isWeightsEvent ? `${line.name} ${line.version ?? 0}` : outcomeOf(line, usualPause);
    const second = Math.floor(Date.parse(line.time) / MILLISECONDS_PER_SECOND);
    const counts = seconds.get(second) ?? new Map<string, number>();
    counts.set(name, (counts.get(name) ?? 0) + 1);
    seconds.set(second, counts);
  }
  return [...seconds]
    .sort(([left], [right]) => left - right)
    .map(([second, counts]) => ({ second, counts }));
}

/** Formats a timeline as a table with one column for each outcome; seconds count from the first. */
export function formatTimeline(timeline: readonly TimelineSecond[]): string {
  const names = [...new Set(timeline.flatMap(({ counts }) => [...counts.keys()]))].sort();
  const firstSecond = timeline[0]?.second ?? 0;
  const legend = names.map((name, index) => `${index + 1} ${name}`);
  const cells = (values: readonly string[]): string =>
    values.map((value) => value.padStart(5)).join('');
  const header = `  s${cells(names.map((_name, index) => String(index + 1)))}`;
  const rows = timeline.map(({ second, counts }) => {
    const values = names.map((name) => String(counts.get(name) ?? '.'));
    return `${String(second - firstSecond).padStart(3)}${cells(values)}`;
  });
  return `${[...legend, header, ...rows].join('\n')}\n`;
}
