import { string as stringArgument } from '@oclif/core/args';
import { OperatorCommand } from '../operatorCommand.js';

/** Prints the configuration that a fleet program produces. */
export class ConfigPrint extends OperatorCommand {
  static override summary = 'Print the configuration that a fleet program produces as YAML.';
  static override args = {
    program: stringArgument({
      required: true,
      description: 'fleet program (.ts, .mjs, .js, .yaml)',
    }),
  };

  async run(): Promise<unknown> {
    const { args } = await this.parse(ConfigPrint);
    const { loadFleet } = await import('../fleetProgram.js');
    const fleet = await loadFleet(args.program);
    const { fleetDigest, fleetYaml } = await import('@burdockrail/fleet/fleetCanonical.js');
    this.log(fleetYaml(fleet).trimEnd());
    return { digest: fleetDigest(fleet), configuration: fleet };
  }
}
