import { string as stringArgument } from '@oclif/core/args';
import { RemoteCommand } from '../remoteCommand.js';

/** Compares the configuration that a fleet program produces with the one in force. */
export class ConfigPlan extends RemoteCommand {
  static override summary = 'Show what a fleet program would change.';
  static override args = {
    program: stringArgument({
      required: true,
      description: 'fleet program (.ts, .mjs, .js, .yaml)',
    }),
  };

  async run(): Promise<unknown> {
    const { args, flags } = await this.parse(ConfigPlan);
    const targets = await this.resolveTargets(flags, 'control');
    const { loadFleet } = await import('../fleetProgram.js');
    const fleet = await loadFleet(args.program);
    const { createOperatorClient } = await import('../operatorClient.js');
    const { readConfigurationInForce } = await import('../configurationInForce.js');
    const { planConfiguration, planLines } = await import('../configurationPlan.js');
    await using client = createOperatorClient();
    const inForce = await readConfigurationInForce(client, targets.control);
    const plan = planConfiguration(inForce, fleet);
    for (const line of planLines(plan)) this.log(line);
    return plan;
  }
}
