import { string as stringArgument } from '@oclif/core/args';
import { OperatorCommand } from '../operatorCommand.js';

/** Validates the configuration that a fleet program produces. */
export class ConfigCheck extends OperatorCommand {
  static override summary = 'Check the configuration that a fleet program produces.';
  static override args = {
    program: stringArgument({
      required: true,
      description: 'fleet program (.ts, .mjs, .js, .yaml)',
    }),
  };

  async run(): Promise<unknown> {
    const { args } = await this.parse(ConfigCheck);
    const { loadFleet } = await import('../fleetProgram.js');
    const fleet = await loadFleet(args.program);
    const { fleetDigest } = await import('@burdockrail/fleet/fleetCanonical.js');
    const digest = fleetDigest(fleet);
    const { services, teams, dataCentres } = fleet;
    this.log(`valid: fleet ${fleet.fleet}, digest ${digest}`);
    this.log(
      `${dataCentres.length} data centres, ${services.length} services, ${teams.length} teams`,
    );
    return { valid: true, fleet: fleet.fleet, digest };
  }
}
