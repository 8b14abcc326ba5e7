import { boolean as booleanFlag, integer as integerFlag } from '@oclif/core/flags';
import { RemoteCommand } from '../remoteCommand.js';
import type { RolloutReading } from '../rolloutWatch.js';

const DEFAULT_TIMEOUT_SECONDS = 3_600;
const DEFAULT_STALL_SECONDS = 30;
const MILLISECONDS_PER_SECOND = 1_000;

/** Returns the control sequence that moves the cursor up and clears the lines below it. */
function eraseLines(count: number): string {
  return count === 0 ? '' : `\u001b[${count}A\u001b[J`;
}

/** Follows the rollout of new weights to the upstreams. */
export class RolloutWatch extends RemoteCommand {
  static override summary =
    'Follow a rollout until every expected upstream serves the new weights.';
  static override flags = {
    timeout: integerFlag({
      description: 'timeout in seconds',
      default: DEFAULT_TIMEOUT_SECONDS,
      min: 1,
    }),
    'stall-seconds': integerFlag({
      description: 'seconds without progress after which the rollout counts as stalled',
      default: DEFAULT_STALL_SECONDS,
      min: 1,
    }),
    plain: booleanFlag({ description: 'append lines instead of redrawing them in a terminal' }),
  };

  private drawnLineCount = 0;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(RolloutWatch);
    const targets = await this.resolveTargets(flags, 'entries');
    await this.resolveTargets(flags, 'control');
    const { createOperatorClient } = await import('../operatorClient.js');
    const { watchRollout } = await import('../rolloutWatch.js');
    const { rolloutLines } = await import('../rolloutText.js');
    const { monotonicClock } = await import('@burdockrail/common/timeSource.js');
    await using client = createOperatorClient();
    const readings = watchRollout({
      client,
      targets,
      time: monotonicClock,
      timeoutMilliseconds: flags.timeout * MILLISECONDS_PER_SECOND,
      stallMilliseconds: flags['stall-seconds'] * MILLISECONDS_PER_SECOND,
    });
    let lastReading: RolloutReading | undefined;
    for await (const reading of readings) {
      lastReading = reading;
      if (this.jsonEnabled()) this.printLine(JSON.stringify(reading));
      else this.printReading(reading, rolloutLines(reading), !flags.plain && process.stdout.isTTY);
    }
    if (lastReading !== undefined && !this.jsonEnabled()) {
      this.log(`all live after ${lastReading.seconds.toFixed(1)} s`);
    }
    return undefined;
  }

  /** Skips the final JSON document, because each reading was already printed as a line of JSON. */
  protected override logJson(json: unknown): void {
    if (json !== undefined) super.logJson(json);
  }

  private printLine(line: string): void {
    process.stdout.write(`${line}\n`);
  }

  private printReading(reading: RolloutReading, lines: readonly string[], redraw: boolean): void {
    const heading = `revision ${reading.revision}, ${reading.seconds.toFixed(1)} s`;
    const notes = reading.stalled ? ['stalled: see docs/OPERATING.md'] : [];
    const printedLines = [heading, ...lines, ...notes];
    if (redraw) process.stdout.write(eraseLines(this.drawnLineCount));
    for (const line of printedLines) this.printLine(line);
    this.drawnLineCount = printedLines.length;
  }
}
