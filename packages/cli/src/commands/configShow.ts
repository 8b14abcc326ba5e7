import { RemoteCommand } from '../remoteCommand.js';

/** Prints the configuration in force. */
export class ConfigShow extends RemoteCommand {
  static override summary = 'Print the configuration in force as YAML.';

  async run(): Promise<unknown> {
    const { flags } = await this.parse(ConfigShow);
    const { control } = await this.resolveTargets(flags, 'control');
    const { createOperatorClient } = await import('../operatorClient.js');
    const { readConfigurationInForce } = await import('../configurationInForce.js');
    const { formatRevision } = await import('../configurationPlan.js');
    const { fleetYaml } = await import('@burdockrail/fleet/fleetCanonical.js');
    await using client = createOperatorClient();
    const inForce = await readConfigurationInForce(client, control);
    this.log(`# in force: ${formatRevision(inForce)}`);
    if (inForce !== null) this.log(fleetYaml(inForce.fleet).trimEnd());
    return inForce;
  }
}
