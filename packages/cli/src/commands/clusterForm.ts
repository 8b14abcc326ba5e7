import { boolean as switchFlag } from '@oclif/core/flags';
import { RemoteCommand } from '../remoteCommand.js';

/** Time for the replicas to reach each other and form their groups, in milliseconds. */
const FORM_TIMEOUT_MILLISECONDS = 60_000;

/** Forms the quorum groups of a new fleet. */
export class ClusterForm extends RemoteCommand {
  static override summary = 'Form the quorum groups of a new fleet, once.';
  static override flags = {
    'accept-loss': switchFlag({
      description: 'form groups anew and give up what only the lost replicas had stored',
    }),
  };

  async run(): Promise<unknown> {
    const { flags } = await this.parse(ClusterForm);
    const { control } = await this.targets(flags, 'control');
    const { createOperatorClient } = await import('../operatorClient.js');
    const { formCluster } = await import('../clusterFormation.js');
    await using client = createOperatorClient();
    const reply = await formCluster(
      client,
      control,
      flags['accept-loss'],
      FORM_TIMEOUT_MILLISECONDS,
    );
    for (const group of reply.formed) this.log(`formed ${group}`);
    for (const group of reply.alreadyFormed) this.log(`formed before: ${group}`);
    return reply;
  }
}
