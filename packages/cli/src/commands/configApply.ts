import { randomUUID } from 'node:crypto';
import { string as textArgument } from '@oclif/core/args';
import {
  boolean as switchFlag,
  integer as integerFlag,
  string as textFlag,
} from '@oclif/core/flags';
import { ExitCode } from '../exitCode.js';
import { RemoteCommand } from '../remoteCommand.js';

const DEFAULT_TIMEOUT_SECONDS = 30;
const MILLISECONDS_PER_SECOND = 1_000;

/** Applies what a fleet program makes. */
export class ConfigApply extends RemoteCommand {
  static override summary = 'Print what a fleet program changes, then apply it.';
  static override args = {
    program: textArgument({ required: true, description: 'fleet program (.ts, .mjs, .js, .yaml)' }),
  };

  static override flags = {
    'expect-revision': integerFlag({
      description: 'revision that must be in force; the one just read when left out',
      min: 0,
    }),
    'order-id': textFlag({
      description: 'id of the order; the same id gets the first answer again',
    }),
    yes: switchFlag({ char: 'y', description: 'apply without asking' }),
    wait: switchFlag({
      description: 'then wait until all listed processes and all agents have it in force',
    }),
    timeout: integerFlag({
      description: 'seconds for which an unanswered order is sent again, and for --wait',
      default: DEFAULT_TIMEOUT_SECONDS,
      min: 1,
    }),
  };

  async run(): Promise<unknown> {
    const { args, flags } = await this.parse(ConfigApply);
    const targets = await this.targets(flags, 'control');
    const { loadFleet } = await import('../fleetProgram.js');
    const fleet = await loadFleet(args.program);
    const { createOperatorClient } = await import('../operatorClient.js');
    const { applyConfiguration } = await import('../configurationApplication.js');
    await using client = createOperatorClient();
    const result = await applyConfiguration({
      client,
      control: targets.control,
      fleet,
      ...(flags['expect-revision'] === undefined
        ? {}
        : { expectedRevision: flags['expect-revision'] }),
      orderId: flags['order-id'] ?? randomUUID(),
      isResend: flags['order-id'] !== undefined,
      timeoutMilliseconds: flags.timeout * MILLISECONDS_PER_SECOND,
      print: (line) => {
        this.log(line);
      },
      confirm: async () => flags.yes || this.confirm(),
    });
    if (!flags.wait || !result.applied) return result;
    const { waitForRevision } = await import('../revisionWait.js');
    const { monotonicClock: processTime } = await import('@burdockrail/common/timeSource.js');
    const waited = await waitForRevision(client, targets, result.revision, {
      time: processTime,
      timeoutMilliseconds: flags.timeout * MILLISECONDS_PER_SECOND,
    });
    this.log(`in force in all ${waited.processes} processes after ${waited.seconds.toFixed(1)} s`);
    return { ...result, ...waited };
  }

  private async confirm(): Promise<boolean> {
    if (!process.stdin.isTTY || this.jsonEnabled()) {
      this.error('nothing applied: give --yes where nobody can be asked', { exit: ExitCode.Usage });
    }
    const { createInterface } = await import('node:readline/promises');
    const terminal = createInterface({ input: process.stdin, output: process.stdout });
    const answer = await terminal.question('apply this? [y/N] ');
    terminal.close();
    return /^y(es)?$/iu.test(answer.trim());
  }
}
