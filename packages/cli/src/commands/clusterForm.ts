import { boolean as booleanFlag } from '@oclif/core/flags';
import { RemoteCommand } from '../remoteCommand.js';

/** Allows the replicas time to reach each other and form their groups. */
const FORM_TIMEOUT_MILLISECONDS = 60_000;

/** Forms the quorum groups of a new fleet. */
export class ClusterForm extends RemoteCommand {
  static override summary = 'Form the quorum groups of a new fleet, once.';
  static override flags = {
    'accept-loss': booleanFlag({
      description:
        'form groups again and accept the loss of data that only the lost replicas stored',
    }),
  };

  async run(): Promise<unknown> {
    const { flags } = await this.parse(ClusterForm);
    const { control } = await this.resolveTargets(flags, 'control');
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
    for (const group of reply.alreadyFormed) this.log(`already formed: ${group}`);
    return reply;
  }
}
