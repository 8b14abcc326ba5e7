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
  /** Receives each line; defaults to writing to standard error. */
  readonly write?: (line: string) => void;
}

/** Log levels of consola by event level. */
const consolaLevels: Readonly<Record<EventLevel, number>> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

function writeToStandardError(line: string): void {
  process.stderr.write(`${line}\n`);
}

/** Creates a log that writes one event per line. */
export function createEventLog(options: EventLogOptions): EventLog {
  const write = options.write ?? writeToStandardError;
  const consola = createConsola({
    level: consolaLevels[options.level],
    reporters: [
      {
        log: (entry) => {
          write(String(entry.args[0]));
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
  return {
    write: (event, fields = {}) => {
      consola[eventCatalogue[event].level](renderers[options.format](event, fields));
    },
  };
}
