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
 * Asks control processes for the configuration in force; `null` when there was none yet.
 *
 * @remarks
 * All are asked at the same time and the first answer counts, because a replica answers only what
 * a quorum confirms. So a process that is down or cut off costs no time.
 */
export async function readConfigurationInForce(
  client: OperatorClient,
  control: readonly OperatorTarget[],
): Promise<ConfigurationInForce | null> {
  const pending = client.callAny(control, 'configuration.current', {});
  const checked = refuseUnformed(client, control).then(async () => pending);
  const committed = await Promise.race([pending, checked]);
  return committed === null ? null : decode(committed);
}

// Without a group nobody can confirm anything, and the question would only time out.
async function refuseUnformed(
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

function decode({ revision, digest, document }: CommittedConfiguration): ConfigurationInForce {
  const check = checkFleetDocument(document);
  if (check.kind === 'valid') return { revision, digest, fleet: check.fleet };
  throw new ResultError(ResultCode.FleetInvalid, `revision ${revision} in force cannot be read`);
}
