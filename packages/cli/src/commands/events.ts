import { string as textArgument } from '@oclif/core/args';
import {
  boolean as switchFlag,
  integer as integerFlag,
  option as choiceFlag,
  string as textFlag,
} from '@oclif/core/flags';
import { OperatorCommand } from '../operatorCommand.js';

/** Shows the catalogue of events, or the events of a log. */
export class Events extends OperatorCommand {
  static override summary = 'Show the catalogue of events, or pretty-print a JSON log.';
  static override args = {
    file: textArgument({ description: 'log in JSON lines, `-` for the standard input' }),
  };

  static override flags = {
    follow: switchFlag({ char: 'f', description: 'wait for further lines at the end of the file' }),
    level: choiceFlag({
      description: 'least grave level that is shown',
      options: ['error', 'warn', 'info', 'debug'] as const,
      default: 'debug',
    })(),
    event: integerFlag({ description: 'show only events with this number', multiple: true }),
    process: textFlag({ description: 'show only events of this process', multiple: true }),
  };

  async run(): Promise<unknown> {
    const { args, flags } = await this.parse(Events);
    if (args.file === undefined) return this.showCatalogue();
    const { readEventLines } = await import('../eventLines.js');
    const { formatEventLine, isWanted, parseEventLine } = await import('../eventText.js');
    const filter = {
      level: flags.level,
      numbers: new Set(flags.event ?? []),
      processes: new Set(flags.process ?? []),
    };
    for await (const line of readEventLines(args.file, flags.follow)) {
      const event = parseEventLine(line);
      if (!isWanted(event, filter)) continue;
      process.stdout.write(`${this.jsonEnabled() ? line : formatEventLine(event)}\n`);
    }
    return undefined;
  }

  /** Events of a log are printed line by line, so there is no document at the end. */
  protected override logJson(json: unknown): void {
    if (json !== undefined) super.logJson(json);
  }

  private async showCatalogue(): Promise<unknown> {
    const { eventCatalogue } = await import('@burdockrail/telemetry/eventCatalogue.js');
    const { tableLines } = await import('../textTable.js');
    const events = Object.entries(eventCatalogue)
      .map(([name, description]) => ({ name, ...description }))
      .sort((left, right) => left.number - right.number);
    const rows = events.map(({ number, level, name, text }) => [String(number), level, name, text]);
    for (const line of tableLines(['number', 'level', 'name', 'meaning'], rows)) this.log(line);
    return events;
  }
}
