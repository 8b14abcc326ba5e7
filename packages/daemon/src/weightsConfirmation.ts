import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import type { CommittedConfiguration } from '@burdockrail/protocol/protocolConfiguration.js';
import type { DaemonContext } from './daemonRole.js';

/** Bound on the question to one control replica, in milliseconds. */
const CONFIRMATION_TIMEOUT_MILLISECONDS = 1_500;

/**
 * Asks the fleet group for the configuration in force, confirmed by a quorum.
 *
 * @remarks
 * An agent that has just started may be told an old configuration by a process that was cut off;
 * its orders would undo newer ones at an engine that does not check fencing numbers. Throws a
 * {@link ResultError} with `QuorumUnreachable` when no control replica answers.
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
      // The next replica may reach a quorum.
    }
  }
  throw new ResultError(ResultCode.QuorumUnreachable, 'no control replica confirmed');
}
