import { eventCatalogue, type EventLevel } from '@burdockrail/telemetry/eventCatalogue.js';

/** A line of a log: an event of the catalogue, or any other text. */
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

/** Which events are shown. */
export interface EventFilter {
  /** Least grave level. */
  readonly level: EventLevel;
  /** Numbers of events; all when empty. */
  readonly numbers: ReadonlySet<number>;
  /** Names of processes; all when empty. */
  readonly processes: ReadonlySet<string>;
}

const gravity: Readonly<Record<EventLevel, number>> = { error: 0, warn: 1, info: 2, debug: 3 };

interface RawEvent extends Readonly<Record<string, unknown>> {
  readonly time: string;
  readonly process: string;
  readonly event: number;
  readonly name: string;
  readonly level: EventLevel;
}

function isRawEvent(value: unknown): value is RawEvent {
  if (value === null || typeof value !== 'object') return false;
  const { time, process, event, name, level } = value as Readonly<Record<string, unknown>>;
  const texts = [time, process, name].every((field) => typeof field === 'string');
  return texts && typeof event === 'number' && typeof level === 'string' && level in gravity;
}

/** Reads one line; what is no event of a JSON log stays as it is. */
export function parseEventLine(line: string): EventLine {
  const value = parseJson(line);
  if (!isRawEvent(value)) return { kind: 'text', text: line };
  const { time, process, event, name, level, ...fields } = value;
  return { kind: 'event', time, process, number: event, name, level, fields };
}

/** Whether a line passes a filter; other texts pass only where nothing is filtered by value. */
export function isWanted(line: EventLine, filter: EventFilter): boolean {
  const { numbers, processes } = filter;
  if (line.kind === 'text') return numbers.size === 0 && processes.size === 0;
  if (gravity[line.level] > gravity[filter.level]) return false;
  if (numbers.size > 0 && !numbers.has(line.number)) return false;
  return processes.size === 0 || processes.has(line.process);
}

/** One line for people. */
export function formatEventLine(line: EventLine): string {
  if (line.kind === 'text') return line.text;
  const { time, level, number, process, name, fields } = line;
  const known = (eventCatalogue as Readonly<Record<string, { readonly text: string }>>)[name];
  const rest = Object.entries(fields).map(([key, value]) => `${key}=${String(value)}`);
  const head = [time, level.padEnd(5), String(number), process.padEnd(12)];
  return [...head, known?.text ?? name, ...rest].join(' ');
}

function parseJson(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    return undefined;
  }
}
