import { ResultError, toResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { ClusterFormReply } from '@burdockrail/protocol/protocolConfiguration.js';
import { describeFailure, type OperatorClient } from './operatorClient.js';
import type { OperatorTarget } from './operatorTarget.js';

/**
 * Sends the order to form the quorum groups to the first reachable control process.
 *
 * @remarks
 * Only one process gets the order, because two processes that form groups at the same time could
 * create two groups of the same name. So each process is probed with a status call first, and the
 * next one is tried only if that probe fails.
 */
export async function formCluster(
  client: OperatorClient,
  control: readonly OperatorTarget[],
  acceptLoss: boolean,
  timeoutMilliseconds: number,
): Promise<ClusterFormReply> {
  const failures: string[] = [];
  for (const target of control) {
    try {
      await client.call(target, 'process.status', {});
    } catch (error) {
      failures.push(describeFailure(target, toResultError(error, ResultCode.ConnectionLost)));
      continue;
    }
    return client.call(target, 'cluster.form', { acceptLoss }, timeoutMilliseconds);
  }
  throw new ResultError(ResultCode.ProcessesUnreachable, failures.join('; '));
}
