import { string as stringArgument } from '@oclif/core/args';
import { string as stringFlag } from '@oclif/core/flags';
import { RemoteCommand } from '../remoteCommand.js';

/** Queries the outcome of a non-repeatable request. */
export class Outcome extends RemoteCommand {
  static override summary = 'Show the outcome of the request with an idempotency key.';
  static override args = {
    key: stringArgument({ required: true, description: 'idempotency key of the request' }),
  };

  static override flags = {
    service: stringFlag({ required: true, description: 'service that the request was for' }),
    team: stringFlag({ required: true, description: 'team that sent the request' }),
  };

  async run(): Promise<unknown> {
    const { args, flags } = await this.parse(Outcome);
    const { http } = await this.resolveTargets(flags, 'http');
    const { outcomeLines, readOutcome } = await import('../requestOutcome.js');
    const { key } = args;
    const outcome = await readOutcome(http, { key, service: flags.service, team: flags.team });
    for (const line of outcomeLines(outcome)) this.log(line);
    return outcome;
  }
}
