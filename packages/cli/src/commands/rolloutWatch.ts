import { boolean as switchFlag, integer as integerFlag } from '@oclif/core/flags';
import { RemoteCommand } from '../remoteCommand.js';
import type { RolloutReading } from '../rolloutWatch.js';

const DEFAULT_TIMEOUT_SECONDS = 3_600;
const DEFAULT_STALL_SECONDS = 30;
const MILLISECONDS_PER_SECOND = 1_000;

/** Moves the cursor up over a number of lines and clears what follows. */
function eraseLines(count: number): string {
  return count === 0 ? '' : `\u001b[${count}A\u001b[J`;
}

/** Follows new weights on their way to the upstreams. */
export class RolloutWatch extends RemoteCommand {
  static override summary = 'Follow new weights until every expected upstream serves them.';
  static override flags = {
    timeout: integerFlag({
      description: 'seconds after which to give up',
      default: DEFAULT_TIMEOUT_SECONDS,
      min: 1,
    }),
    'stall-seconds': integerFlag({
      description: 'seconds without any movement that count as a stall',
      default: DEFAULT_STALL_SECONDS,
      min: 1,
    }),
    plain: switchFlag({ description: 'print lines as if the output were no terminal' }),
  };

  private drawnLines = 0;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(RolloutWatch);
    const targets = await this.targets(flags, 'entries');
    await this.targets(flags, 'control');
    const { createOperatorClient } = await import('../operatorClient.js');
    const { watchRollout } = await import('../rolloutWatch.js');
    const { rolloutLines } = await import('../rolloutText.js');
    const { monotonicClock: processTime } = await import('@burdockrail/common/timeSource.js');
    await using client = createOperatorClient();
    const readings = watchRollout({
      client,
      targets,
      time: processTime,
      timeoutMilliseconds: flags.timeout * MILLISECONDS_PER_SECOND,
      stallMilliseconds: flags['stall-seconds'] * MILLISECONDS_PER_SECOND,
    });
    let last: RolloutReading | undefined;
    for await (const reading of readings) {
      last = reading;
      if (this.jsonEnabled()) this.print(JSON.stringify(reading));
      else this.show(reading, rolloutLines(reading), !flags.plain && process.stdout.isTTY);
    }
    if (last !== undefined && !this.jsonEnabled()) {
      this.log(`all live after ${last.seconds.toFixed(1)} s`);
    }
    return undefined;
  }

  /** One reading is one line of JSON, so the library's single document at the end is left out. */
  protected override logJson(json: unknown): void {
    if (json !== undefined) super.logJson(json);
  }

  private print(line: string): void {
    process.stdout.write(`${line}\n`);
  }

  private show(reading: RolloutReading, lines: readonly string[], redraw: boolean): void {
    const head = `revision ${reading.revision}, ${reading.seconds.toFixed(1)} s`;
    const note = reading.stalled ? ['stalled: see docs/OPERATING.md'] : [];
    const shown = [head, ...lines, ...note];
    if (redraw) process.stdout.write(eraseLines(this.drawnLines));
    for (const line of shown) this.print(line);
    this.drawnLines = shown.length;
  }
}
