import { writeSync } from 'node:fs';
import { createConsola } from 'consola';
import { eventCatalogue, type EventLevel, type EventName } from './eventCatalogue.js';

/** Values that belong to one event. */
export type EventFields = Readonly<Record<string, string | number | boolean | null>>;

/** Log of catalogued events. */
export interface EventLog {
  write(event: EventName, fields?: EventFields): void;
}

/** Options of {@link createEventLog}. */
export interface EventLogOptions {
  readonly process: string;
  readonly format: 'json' | 'pretty';
  readonly level: EventLevel;
  /** Receives each line and may refuse it by throwing; defaults to writing to standard error. */
  readonly write?: (line: string) => void;
}

/** Longest text of a field, in characters; the rest is left out. */
const MAXIMUM_FIELD_CHARACTERS = 1_024;

/** Text of a field, which may have come from a client. */
function boundedField(value: string | number | boolean | null): string | number | boolean | null {
  const isTooLong = typeof value === 'string' && value.length > MAXIMUM_FIELD_CHARACTERS;
  return isTooLong ? `${value.slice(0, MAXIMUM_FIELD_CHARACTERS)}…` : value;
}

function boundedFields(fields: EventFields): EventFields {
  return Object.fromEntries(
    Object.entries(fields).map(([name, value]) => [name, boundedField(value)]),
  );
}

/** Log levels of consola by event level. */
const consolaLevels: Readonly<Record<EventLevel, number>> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

const STANDARD_ERROR_DESCRIPTOR = 2;

/** Writes without the stream of the process, which ends with its first failed write. */
function writeToStandardError(line: string): void {
  writeSync(STANDARD_ERROR_DESCRIPTOR, `${line}\n`);
}

/**
 * Creates a log that writes one event per line.
 *
 * @remarks
 * Lines that the output refuses, such as a file on a full disk, are lost; their number is logged as
 * soon as the output accepts lines again.
 */
export function createEventLog(options: EventLogOptions): EventLog {
  const write = options.write ?? writeToStandardError;
  let lostLines = 0;
  const writeLine = (line: string): void => {
    try {
      if (lostLines > 0) write(render('logLinesLost', { lines: lostLines }));
      lostLines = 0;
      write(line);
    } catch {
      // There is no other output that could tell.
      lostLines += 1;
    }
  };
  const consola = createConsola({
    level: consolaLevels[options.level],
    reporters: [
      {
        log: (entry) => {
          writeLine(String(entry.args[0]));
        },
      },
    ],
  });
  const renderers = {
    json: (event: EventName, fields: EventFields) =>
      JSON.stringify({
        time: new Date().toISOString(),
        process: options.process,
        event: eventCatalogue[event].number,
        name: event,
        level: eventCatalogue[event].level,
        ...fields,
      }),
    pretty: (event: EventName, fields: EventFields) => {
      const { number, level, text } = eventCatalogue[event];
      const fieldTexts = Object.entries(fields).map(([key, value]) => `${key}=${String(value)}`);
      return [new Date().toISOString(), level, number, options.process, text, ...fieldTexts].join(
        ' ',
      );
    },
  };
  const render = renderers[options.format];
  return {
    write: (event, fields = {}) => {
      consola[eventCatalogue[event].level](render(event, boundedFields(fields)));
    },
  };
}
