import { ResultError } from '@burdockrail/common/outcome.js';
import { formatFieldIssue } from '@burdockrail/common/fieldIssue.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { fleetYaml } from '@burdockrail/fleet/fleetCanonical.js';
import { checkFleet, type FleetCheck } from '@burdockrail/fleet/fleetChecks.js';
import type { FleetConfigurationInput } from '@burdockrail/fleet/fleetConfiguration.js';
import type { DataCentreDefinition } from './dataCentre.js';
import type { ServiceDefinition } from './service.js';
import type { TeamDefinition } from './team.js';

/** What a fleet program declares. */
export interface FleetOptions<DataCentre extends string> {
  /** Name of the fleet. */
  readonly name: string;
  readonly dataCentres: readonly DataCentreDefinition<DataCentre>[];
  readonly services: readonly ServiceDefinition<NoInfer<DataCentre>>[];
  readonly teams: readonly TeamDefinition[];
}

/** A declared fleet: the default export of a fleet program. */
export interface FleetDefinition {
  readonly kind: 'fleet-definition';
  /** Plain data of the configuration, not checked yet. */
  readonly input: FleetConfigurationInput;
  /** The canonical configuration, or each fault with its path, expectation and number. */
  check(): FleetCheck;
  /**
   * YAML of the configuration; equal programs give equal bytes.
   *
   * @remarks
   * Throws a {@link ResultError} with `FleetInvalid` that lists every fault.
   */
  toYaml(): string;
}

/**
 * Declares a fleet. Nothing takes effect until `burdockrail config apply` sends it.
 *
 * @example
 * ```ts
 * export default defineFleet({
 *   name: 'harbour',
 *   dataCentres: [dataCentre('north', { region: 'coast' })],
 *   services: [
 *     modelService('assistant', {
 *       home: 'north',
 *       upstreams: { north: 2 },
 *       weights: version('assistant', '2026-12-01'),
 *     }),
 *   ],
 *   teams: [team('guests', { share: 4, requestsPerSecond: 50 })],
 * });
 * ```
 */
export function defineFleet<const DataCentre extends string>(
  options: FleetOptions<DataCentre>,
): FleetDefinition {
  const input: FleetConfigurationInput = {
    fleet: options.name,
    dataCentres: options.dataCentres,
    services: options.services,
    teams: options.teams,
  };
  return {
    kind: 'fleet-definition',
    input,
    check: () => checkFleet(input),
    toYaml: () => yamlOf(checkFleet(input)),
  };
}

function yamlOf(check: FleetCheck): string {
  if (check.kind === 'valid') return fleetYaml(check.fleet);
  throw new ResultError(ResultCode.FleetInvalid, check.issues.map(formatFieldIssue).join('\n'));
}
