import { fleetDigest } from '@burdockrail/fleet/fleetCanonical.js';
import type { FleetConfiguration } from '@burdockrail/fleet/fleetConfiguration.js';
import {
  fleetDifference,
  formatFleetChange,
  type FleetChange,
} from '@burdockrail/fleet/fleetDifference.js';
import type { ConfigurationInForce } from './configurationInForce.js';

/** Changes that applying a configuration would make. */
export interface ConfigurationPlan {
  readonly inForce: { readonly revision: number; readonly digest: string } | null;
  /** Digest of the planned configuration. */
  readonly digest: string;
  readonly changes: readonly FleetChange[];
}

/** Compares a configuration with the one in force. */
export function planConfiguration(
  inForce: ConfigurationInForce | null,
  planned: FleetConfiguration,
): ConfigurationPlan {
  return {
    inForce: inForce === null ? null : { revision: inForce.revision, digest: inForce.digest },
    digest: fleetDigest(planned),
    changes: fleetDifference(inForce?.fleet ?? null, planned),
  };
}

/** Formats a plan as text lines. */
export function planLines(plan: ConfigurationPlan): readonly string[] {
  return [
    `in force: ${formatRevision(plan.inForce)}`,
    `planned:  digest ${plan.digest}`,
    plan.changes.length === 0 ? 'no difference' : `fields that differ: ${plan.changes.length}`,
    ...plan.changes.map((change) => `  ${formatFleetChange(change)}`),
  ];
}

/** Formats a revision and its digest. */
export function formatRevision(
  inForce: { readonly revision: number; readonly digest: string } | null,
): string {
  return inForce === null ? 'nothing' : `revision ${inForce.revision}, digest ${inForce.digest}`;
}
