import { eventCatalogue, type EventLevel } from '@burdockrail/telemetry/eventCatalogue.js';

/** A line of a log: a JSON event, or any other text. */
export type EventLine =
  | {
      readonly kind: 'event';
      readonly time: string;
      readonly process: string;
      readonly number: number;
      readonly name: string;
      readonly level: EventLevel;
      readonly fields: Readonly<Record<string, unknown>>;
    }
  | { readonly kind: 'text'; readonly text: string };

/** Selects the events to show. */
export interface EventFilter {
  /** Lowest severity to show. */
  readonly level: EventLevel;
  /** Event numbers to show; empty shows all. */
  readonly numbers: ReadonlySet<number>;
  /** Names of processes to show; empty shows all. */
  readonly processes: ReadonlySet<string>;
}

/** Rank of each level; lower is more severe. */
const severity: Readonly<Record<EventLevel, number>> = { error: 0, warn: 1, info: 2, debug: 3 };

interface JsonEvent extends Readonly<Record<string, unknown>> {
  readonly time: string;
  readonly process: string;
  readonly event: number;
  readonly name: string;
  readonly level: EventLevel;
}

function isJsonEvent(value: unknown): value is JsonEvent {
  if (value === null || typeof value !== 'object') return false;
  const { time, process, event, name, level } = value as Readonly<Record<string, unknown>>;
  const areStrings = [time, process, name].every((field) => typeof field === 'string');
  return areStrings && typeof event === 'number' && typeof level === 'string' && level in severity;
}

/** Parses one line; a line that is not a JSON event is kept as text. */
export function parseEventLine(line: string): EventLine {
  const value = parseJson(line);
  if (!isJsonEvent(value)) return { kind: 'text', text: line };
  const { time, process, event, name, level, ...fields } = value;
  return { kind: 'event', time, process, number: event, name, level, fields };
}

/** Whether a line matches a filter; text lines match only if no number or process is selected. */
export function matchesFilter(line: EventLine, filter: EventFilter): boolean {
  const { numbers, processes } = filter;
  if (line.kind === 'text') return numbers.size === 0 && processes.size === 0;
  if (severity[line.level] > severity[filter.level]) return false;
  if (numbers.size > 0 && !numbers.has(line.number)) return false;
  return processes.size === 0 || processes.has(line.process);
}

/** Formats an event for display. */
export function formatEventLine(line: EventLine): string {
  if (line.kind === 'text') return line.text;
  const { time, level, number, process, name, fields } = line;
  const description = (eventCatalogue as Readonly<Record<string, { readonly text: string }>>)[name];
  const fieldTexts = Object.entries(fields).map(([key, value]) => `${key}=${String(value)}`);
  const prefix = [time, level.padEnd(5), String(number), process.padEnd(12)];
  return [...prefix, description?.text ?? name, ...fieldTexts].join(' ');
}

function parseJson(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    return undefined;
  }
}
