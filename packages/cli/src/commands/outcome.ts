import { string as textArgument } from '@oclif/core/args';
import { string as textFlag } from '@oclif/core/flags';
import { RemoteCommand } from '../remoteCommand.js';

/** Asks what became of a non-repeatable request. */
export class Outcome extends RemoteCommand {
  static override summary = 'Show what became of the request with an idempotency key.';
  static override args = {
    key: textArgument({ required: true, description: 'idempotency key of the request' }),
  };

  static override flags = {
    service: textFlag({ required: true, description: 'service that the request was for' }),
    team: textFlag({ required: true, description: 'team that sent the request' }),
  };

  async run(): Promise<unknown> {
    const { args, flags } = await this.parse(Outcome);
    const { http } = await this.targets(flags, 'http');
    const { outcomeLines, readOutcome } = await import('../requestOutcome.js');
    const { key } = args;
    const outcome = await readOutcome(http, { key, service: flags.service, team: flags.team });
    for (const line of outcomeLines(outcome)) this.log(line);
    return outcome;
  }
}
