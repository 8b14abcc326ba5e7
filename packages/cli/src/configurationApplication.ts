import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { monotonicClock } from '@burdockrail/common/timeSource.js';
import { fleetDocument, fleetYaml } from '@burdockrail/fleet/fleetCanonical.js';
import type { FleetConfiguration } from '@burdockrail/fleet/fleetConfiguration.js';
import { readConfigurationInForce } from './configurationInForce.js';
import { sendOrder } from './configurationOrder.js';
import { formatRevision, planConfiguration, planLines } from './configurationPlan.js';
import type { OperatorClient } from './operatorClient.js';
import type { OperatorTarget } from './operatorTarget.js';

/** What {@link applyConfiguration} needs. */
export interface ConfigurationApplication {
  readonly client: OperatorClient;
  readonly control: readonly OperatorTarget[];
  readonly fleet: FleetConfiguration;
  /** Revision that must be in force; the one just read when left out. */
  readonly expectedRevision?: number;
  readonly orderId: string;
  /** True when the order may have been sent before; then it is sent again whatever is in force. */
  readonly isResend: boolean;
  readonly timeoutMilliseconds: number;
  readonly print: (line: string) => void;
  /** Asks the operator once the configuration and the difference have been printed. */
  readonly confirm: () => Promise<boolean>;
}

/** JSON form of what became of an application. */
export interface ConfigurationApplied {
  readonly applied: boolean;
  readonly revision: number;
  readonly digest: string;
  readonly orderId: string;
}

/**
 * Prints a configuration and its difference from the one in force, asks, and applies it.
 *
 * @remarks
 * Rejects with `RevisionConflict` when another change came first; the detail tells what is in force.
 */
export async function applyConfiguration(
  application: ConfigurationApplication,
): Promise<ConfigurationApplied> {
  const { client, control, fleet, orderId, print } = application;
  const inForce = await readConfigurationInForce(client, control);
  const plan = planConfiguration(inForce, fleet);
  print(fleetYaml(fleet));
  for (const line of planLines(plan)) print(line);
  const expectedRevision = application.expectedRevision ?? inForce?.revision ?? 0;
  const unchanged = { applied: false, revision: inForce?.revision ?? 0, digest: plan.digest };
  const isWanted = application.isResend || application.expectedRevision !== undefined;
  if (plan.changes.length === 0 && !isWanted) {
    print('nothing to apply');
    return { ...unchanged, orderId };
  }
  if (!(await application.confirm())) {
    print('nothing applied');
    return { ...unchanged, orderId };
  }
  print(`order ${orderId}, expected revision ${expectedRevision}`);
  const order = { orderId, expectedRevision, document: fleetDocument(fleet) };
  const { timeoutMilliseconds } = application;
  const reply = await sendOrder({
    client,
    control,
    order,
    time: monotonicClock,
    timeoutMilliseconds,
  });
  if (reply.kind === 'conflict') throw conflict(expectedRevision, reply);
  print(`accepted: revision ${reply.revision}, digest ${reply.digest}`);
  // The first answer to a resent order may be older than what others have applied since.
  if (inForce !== null && inForce.revision > reply.revision) {
    print(`the order was accepted before; in force is ${formatRevision(inForce)}`);
  }
  return { applied: true, revision: reply.revision, digest: reply.digest, orderId };
}

function conflict(
  expectedRevision: number,
  inForce: { readonly revision: number; readonly digest: string },
): ResultError {
  return new ResultError(
    ResultCode.RevisionConflict,
    `expected revision ${expectedRevision}, in force is revision ${inForce.revision}, digest ${inForce.digest}; nothing was applied`,
  );
}
