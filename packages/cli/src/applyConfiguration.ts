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

/** Options of {@link applyConfiguration}. */
export interface ApplyConfigurationOptions {
  readonly client: OperatorClient;
  readonly control: readonly OperatorTarget[];
  readonly fleet: FleetConfiguration;
  /** Revision that must be in force; defaults to the current one. */
  readonly expectedRevision?: number;
  readonly orderId: string;
  /** True if the order may have been sent before; it is then sent even if nothing would change. */
  readonly isResend: boolean;
  readonly timeoutMilliseconds: number;
  readonly print: (line: string) => void;
  /** Asks the operator for confirmation after the configuration and its changes were printed. */
  readonly confirm: () => Promise<boolean>;
}

/** Result of {@link applyConfiguration}; also the JSON output. */
export interface ApplyConfigurationResult {
  readonly applied: boolean;
  readonly revision: number;
  readonly digest: string;
  readonly orderId: string;
}

/**
 * Prints a configuration and its changes to the one in force, asks for confirmation and applies it.
 *
 * @remarks
 * Rejects with `RevisionConflict` if another change was committed first; the detail names the
 * revision in force.
 */
export async function applyConfiguration(
  options: ApplyConfigurationOptions,
): Promise<ApplyConfigurationResult> {
  const { client, control, fleet, orderId, print } = options;
  const inForce = await readConfigurationInForce(client, control);
  const plan = planConfiguration(inForce, fleet);
  print(fleetYaml(fleet));
  for (const line of planLines(plan)) print(line);
  const expectedRevision = options.expectedRevision ?? inForce?.revision ?? 0;
  const unchanged = { applied: false, revision: inForce?.revision ?? 0, digest: plan.digest };
  const mustSend = options.isResend || options.expectedRevision !== undefined;
  if (plan.changes.length === 0 && !mustSend) {
    print('nothing to apply');
    return { ...unchanged, orderId };
  }
  if (!(await options.confirm())) {
    print('nothing applied');
    return { ...unchanged, orderId };
  }
  print(`order ${orderId}, expected revision ${expectedRevision}`);
  const order = { orderId, expectedRevision, document: fleetDocument(fleet) };
  const { timeoutMilliseconds } = options;
  const reply = await sendOrder({
    client,
    control,
    order,
    time: monotonicClock,
    timeoutMilliseconds,
  });
  if (reply.kind === 'conflict') throw createConflictError(expectedRevision, reply);
  print(`accepted: revision ${reply.revision}, digest ${reply.digest}`);
  // A resent order gets its first answer again; later orders may have replaced that revision.
  if (inForce !== null && inForce.revision > reply.revision) {
    print(`the order was already accepted earlier; now in force: ${formatRevision(inForce)}`);
  }
  return { applied: true, revision: reply.revision, digest: reply.digest, orderId };
}

function createConflictError(
  expectedRevision: number,
  inForce: { readonly revision: number; readonly digest: string },
): ResultError {
  return new ResultError(
    ResultCode.RevisionConflict,
    `expected revision ${expectedRevision}, in force is revision ${inForce.revision}, digest ${inForce.digest}; nothing was applied`,
  );
}
