import { ResultError, toResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { ClusterFormReply } from '@burdockrail/protocol/protocolConfiguration.js';
import { describeFailure, type OperatorClient } from './operatorClient.js';
import type { OperatorTarget } from './operatorTarget.js';

/**
 * Orders one control process to form the groups: the first that can be reached.
 *
 * @remarks
 * Only one process gets the order, because two that form groups at the same time could form two of
 * the same name. The next one is tried only when those before it do not answer a question first.
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
