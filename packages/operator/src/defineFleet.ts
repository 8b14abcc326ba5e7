import { ResultError } from '@burdockrail/common/outcome.js';
import { formatFieldIssue } from '@burdockrail/common/fieldIssue.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { fleetYaml } from '@burdockrail/fleet/fleetCanonical.js';
import { checkFleet, type FleetCheck } from '@burdockrail/fleet/fleetChecks.js';
import type { FleetConfigurationInput } from '@burdockrail/fleet/fleetConfiguration.js';
import type { DataCentreDefinition } from './dataCentre.js';
import type { ServiceDefinition } from './service.js';
import type { TeamDefinition } from './team.js';

/** Options of {@link defineFleet}. */
export interface FleetOptions<DataCentre extends string> {
  readonly name: string;
  readonly dataCentres: readonly DataCentreDefinition<DataCentre>[];
  readonly services: readonly ServiceDefinition<NoInfer<DataCentre>>[];
  readonly teams: readonly TeamDefinition[];
}

/** A declared fleet: the default export of a fleet program. */
export interface FleetDefinition {
  readonly kind: 'fleet-definition';
  /** The configuration as plain data, not validated yet. */
  readonly input: FleetConfigurationInput;
  /** Returns the canonical configuration, or each error with its path, expected value and code. */
  check(): FleetCheck;
  /**
   * Formats the configuration as YAML; equal declarations give identical bytes.
   *
   * @remarks
   * Throws a {@link ResultError} with `FleetInvalid` that lists every error.
   */
  toYaml(): string;
}

/**
 * Declares a fleet. The declaration takes effect only when `burdockrail config apply` sends it.
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
    toYaml: () => formatYaml(checkFleet(input)),
  };
}

function formatYaml(check: FleetCheck): string {
  if (check.kind === 'valid') return fleetYaml(check.fleet);
  throw new ResultError(ResultCode.FleetInvalid, check.issues.map(formatFieldIssue).join('\n'));
}
