import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { parseArgs } from 'node:util';
import { formatTimeline, requestTimeline } from './requestTimeline.js';

/** Pause between events beyond which a stream counts as late by default, in milliseconds. */
const DEFAULT_PAUSE_MILLISECONDS = '400';

/** Prints how the requests in a log file ended, second by second; returns the exit code. */
export async function runTimelineTool(args: readonly string[]): Promise<number> {
  const { values, positionals } = parseArgs({
    args: [...args],
    allowPositionals: true,
    options: { pause: { type: 'string', default: DEFAULT_PAUSE_MILLISECONDS } },
  });
  const [file] = positionals;
  const pause = Number(values.pause);
  if (file === undefined || positionals.length !== 1 || !(pause > 0)) {
    process.stderr.write('usage: npm run timeline -- [--pause MILLISECONDS] LOG-FILE\n');
    return 2;
  }
  const lines: string[] = [];
  for await (const line of createInterface({ input: createReadStream(file) })) lines.push(line);
  process.stdout.write(formatTimeline(requestTimeline(lines, pause)));
  return 0;
}
