import { string as textArgument } from '@oclif/core/args';
import { OperatorCommand } from '../operatorCommand.js';

/** Prints the configuration that a fleet program makes. */
export class ConfigPrint extends OperatorCommand {
  static override summary = 'Print the YAML that a fleet program makes.';
  static override args = {
    program: textArgument({ required: true, description: 'fleet program (.ts, .mjs, .js, .yaml)' }),
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
