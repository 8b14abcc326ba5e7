import { string as stringArgument } from '@oclif/core/args';
import {
  boolean as booleanFlag,
  integer as integerFlag,
  option as optionFlag,
  string as stringFlag,
} from '@oclif/core/flags';
import { OperatorCommand } from '../operatorCommand.js';

/** Prints the event catalogue, or the events in a log file. */
export class Events extends OperatorCommand {
  static override summary = 'Show the event catalogue, or pretty-print a JSON log.';
  static override args = {
    file: stringArgument({ description: 'log in JSON lines, or `-` for standard input' }),
  };

  static override flags = {
    follow: booleanFlag({ char: 'f', description: 'wait for new lines at the end of the file' }),
    level: optionFlag({
      description: 'lowest severity that is shown',
      options: ['error', 'warn', 'info', 'debug'] as const,
      default: 'debug',
    })(),
    event: integerFlag({ description: 'show only events with this number', multiple: true }),
    process: stringFlag({ description: 'show only events of this process', multiple: true }),
  };

  async run(): Promise<unknown> {
    const { args, flags } = await this.parse(Events);
    if (args.file === undefined) return this.showCatalogue();
    const { readEventLines } = await import('../eventLines.js');
    const { formatEventLine, matchesFilter, parseEventLine } = await import('../eventText.js');
    const filter = {
      level: flags.level,
      numbers: new Set(flags.event ?? []),
      processes: new Set(flags.process ?? []),
    };
    for await (const line of readEventLines(args.file, flags.follow)) {
      const event = parseEventLine(line);
      if (!matchesFilter(event, filter)) continue;
      process.stdout.write(`${this.jsonEnabled() ? line : formatEventLine(event)}\n`);
    }
    return undefined;
  }

  /** Skips the final JSON document for a log, whose events were already printed line by line. */
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
