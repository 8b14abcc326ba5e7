import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { checkFleetDocument } from '@burdockrail/fleet/fleetChecks.js';
import type { FleetConfiguration } from '@burdockrail/fleet/fleetConfiguration.js';
import type { CommittedConfiguration } from '@burdockrail/protocol/protocolConfiguration.js';
import { allFailed, type OperatorClient } from './operatorClient.js';
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
 * All are asked, and the highest revision counts: a replica that is cut off or has just restarted
 * may still know an older one.
 */
export async function readConfigurationInForce(
  client: OperatorClient,
  control: readonly OperatorTarget[],
): Promise<ConfigurationInForce | null> {
  const answers = await client.callAll(control, 'configuration.current', {});
  const replies = answers.flatMap((answer) => (answer.kind === 'answered' ? [answer.reply] : []));
  if (replies.length === 0) throw allFailed(answers);
  const committed = replies.filter((reply) => reply !== null);
  const highest = committed.sort((left, right) => right.revision - left.revision)[0];
  return highest === undefined ? null : decode(highest);
}

function decode({ revision, digest, document }: CommittedConfiguration): ConfigurationInForce {
  const check = checkFleetDocument(document);
  if (check.kind === 'valid') return { revision, digest, fleet: check.fleet };
  throw new ResultError(ResultCode.FleetInvalid, `revision ${revision} in force cannot be read`);
}
