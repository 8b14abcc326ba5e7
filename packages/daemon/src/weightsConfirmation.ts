import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import type { CommittedConfiguration } from '@burdockrail/protocol/protocolConfiguration.js';
import type { DaemonContext } from './daemonRole.js';

/** Timeout of the request to one control process, in milliseconds. */
const CONFIRMATION_TIMEOUT_MILLISECONDS = 1_500;

/**
 * Reads the configuration in force from the fleet group, confirmed by a quorum.
 *
 * @remarks
 * A newly started agent may receive an old configuration from a partitioned process. Its orders
 * would then undo newer ones at an engine that does not check fencing tokens.
 *
 * @throws {@link ResultError} with `QuorumUnreachable` if no control process returns one.
 */
export async function confirmConfiguration(
  context: DaemonContext,
): Promise<CommittedConfiguration> {
  const controls = context.settings.peers.filter((peer) => peer.roles.includes('control'));
  const timeout = { timeoutMilliseconds: CONFIRMATION_TIMEOUT_MILLISECONDS };
  for (const control of controls) {
    try {
      const connection = context.client.connectionTo(control.address);
      const committed = await connection.call('configuration.current', {}, timeout);
      if (committed === null) continue;
      context.configuration.offer(committed);
      return committed;
    } catch {
      // The next control process may reach a quorum.
    }
  }
  throw new ResultError(
    ResultCode.QuorumUnreachable,
    'no control process returned a confirmed configuration',
  );
}
