import { randomUUID } from 'node:crypto';
import { string as stringArgument } from '@oclif/core/args';
import {
  boolean as booleanFlag,
  integer as integerFlag,
  string as stringFlag,
} from '@oclif/core/flags';
import { ExitCode } from '../exitCode.js';
import { RemoteCommand } from '../remoteCommand.js';

const DEFAULT_TIMEOUT_SECONDS = 30;
const MILLISECONDS_PER_SECOND = 1_000;

/** Applies the configuration that a fleet program produces. */
export class ConfigApply extends RemoteCommand {
  static override summary = 'Print the changes that a fleet program makes, then apply them.';
  static override args = {
    program: stringArgument({
      required: true,
      description: 'fleet program (.ts, .mjs, .js, .yaml)',
    }),
  };

  static override flags = {
    'expect-revision': integerFlag({
      description: 'revision that must be in force (default: the current one)',
      min: 0,
    }),
    'order-id': stringFlag({
      description: 'idempotency key; a resent order gets the first answer again',
    }),
    yes: booleanFlag({ char: 'y', description: 'apply without confirmation' }),
    wait: booleanFlag({
      description: 'wait until the revision is in force in all listed processes and all agents',
    }),
    timeout: integerFlag({
      description: 'time limit in seconds for resending an unanswered order, and for --wait',
      default: DEFAULT_TIMEOUT_SECONDS,
      min: 1,
    }),
  };

  async run(): Promise<unknown> {
    const { args, flags } = await this.parse(ConfigApply);
    const targets = await this.resolveTargets(flags, 'control');
    const { loadFleet } = await import('../fleetProgram.js');
    const fleet = await loadFleet(args.program);
    const { createOperatorClient } = await import('../operatorClient.js');
    const { applyConfiguration } = await import('../applyConfiguration.js');
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
    const { monotonicClock } = await import('@burdockrail/common/timeSource.js');
    const waitResult = await waitForRevision(client, targets, result.revision, {
      time: monotonicClock,
      timeoutMilliseconds: flags.timeout * MILLISECONDS_PER_SECOND,
    });
    this.log(
      `in force in all ${waitResult.processes} processes after ${waitResult.seconds.toFixed(1)} s`,
    );
    return { ...result, ...waitResult };
  }

  private async confirm(): Promise<boolean> {
    if (!process.stdin.isTTY || this.jsonEnabled()) {
      this.error('nothing applied: --yes is required without an interactive terminal', {
        exit: ExitCode.Usage,
      });
    }
    const { createInterface } = await import('node:readline/promises');
    const terminal = createInterface({ input: process.stdin, output: process.stdout });
    const answer = await terminal.question('apply this? [y/N] ');
    terminal.close();
    return /^y(es)?$/iu.test(answer.trim());
  }
}
