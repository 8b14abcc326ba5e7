import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { checkFleetDocument } from '@burdockrail/fleet/fleetChecks.js';
import type { FleetConfiguration } from '@burdockrail/fleet/fleetConfiguration.js';
import type { CommittedConfiguration } from '@burdockrail/protocol/protocolConfiguration.js';
import type { OperatorClient } from './operatorClient.js';
import type { OperatorTarget } from './operatorTarget.js';

/** A committed configuration with its document decoded. */
export interface ConfigurationInForce {
  readonly revision: number;
  readonly digest: string;
  readonly fleet: FleetConfiguration;
}

/**
 * Reads the configuration in force from the control processes; `null` if none was ever applied.
 *
 * @remarks
 * All processes are asked concurrently and the first answer is used, so that an unreachable process
 * causes no delay. Any answer is safe to use, because a replica answers only after a quorum
 * confirmed its data.
 */
export async function readConfigurationInForce(
  client: OperatorClient,
  control: readonly OperatorTarget[],
): Promise<ConfigurationInForce | null> {
  const query = client.callAny(control, 'configuration.current', {});
  const queryIfFormed = rejectIfUnformed(client, control).then(async () => query);
  const committed = await Promise.race([query, queryIfFormed]);
  return committed === null ? null : decodeConfiguration(committed);
}

// Without a formed group no quorum can confirm an answer, and the query would run into its timeout.
async function rejectIfUnformed(
  client: OperatorClient,
  control: readonly OperatorTarget[],
): Promise<void> {
  const answers = await client.callAll(control, 'process.status', {});
  const roles = answers.flatMap((answer) =>
    answer.kind === 'answered'
      ? answer.reply.groups.filter(({ group }) => group === 'fleet').map(({ role }) => role)
      : [],
  );
  if (roles.length === 0 || roles.some((role) => role !== 'unformed')) return;
  throw new ResultError(ResultCode.GroupNotFormed, 'run `burdockrail cluster form` once');
}

function decodeConfiguration({
  revision,
  digest,
  document,
}: CommittedConfiguration): ConfigurationInForce {
  const check = checkFleetDocument(document);
  if (check.kind === 'valid') return { revision, digest, fleet: check.fleet };
  throw new ResultError(
    ResultCode.FleetInvalid,
    `revision ${revision} in force is not a valid configuration`,
  );
}
