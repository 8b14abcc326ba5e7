import { ResultError, toResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds, TimeSource } from '@burdockrail/common/timeSource.js';
import type {
  ConfigurationApply,
  ConfigurationApplyReply,
} from '@burdockrail/protocol/protocolConfiguration.js';
import { setTimeout } from 'node:timers/promises';
import {
  describeFailure,
  QUORUM_TIMEOUT_MILLISECONDS,
  type OperatorClient,
} from './operatorClient.js';
import type { OperatorTarget } from './operatorTarget.js';

/** Pause before the control processes are asked again from the first, in milliseconds. */
const ROUND_PAUSE_MILLISECONDS = 250;

/** Time that even the last call gets, in milliseconds. */
const SHORTEST_CALL_MILLISECONDS = 500;

/** Failures after which the order is sent again under its order id. */
const repeatedAfter: ReadonlySet<ResultCode> = new Set([
  ResultCode.NotLeader,
  ResultCode.QuorumUnreachable,
  ResultCode.ReplicaIsLearner,
  ResultCode.ConnectionLost,
  ResultCode.CallTimedOut,
]);

/**
 * Sends an order until a control process answers it or the time is over.
 *
 * @remarks
 * An order whose answer was lost may have been committed. It is sent again under the same order id,
 * so that the first answer comes back and nothing is applied twice. Rejects with
 * `OrderNotConfirmed` when the time is over, and at once with any result that a repetition would
 * not change.
 */
export async function sendOrder(
  client: OperatorClient,
  control: readonly OperatorTarget[],
  order: ConfigurationApply,
  time: TimeSource,
  timeoutMilliseconds: Milliseconds,
): Promise<ConfigurationApplyReply> {
  const endsAt = time.now() + timeoutMilliseconds;
  for (;;) {
    let lastFailure = '';
    for (const target of control) {
      const left = Math.max(SHORTEST_CALL_MILLISECONDS, endsAt - time.now());
      const bound = Math.min(QUORUM_TIMEOUT_MILLISECONDS, left);
      try {
        return await client.call(target, 'configuration.apply', order, bound);
      } catch (error) {
        const result = toResultError(error, ResultCode.ConnectionLost);
        if (!repeatedAfter.has(result.code)) throw result;
        lastFailure = describeFailure(target, result);
      }
    }
    if (time.now() >= endsAt) throw notConfirmed(order, lastFailure);
    await setTimeout(ROUND_PAUSE_MILLISECONDS);
  }
}

function notConfirmed(order: ConfigurationApply, lastFailure: string): ResultError {
  const advice = `run it again with --order-id ${order.orderId} --expect-revision ${order.expectedRevision}`;
  return new ResultError(
    ResultCode.OrderNotConfirmed,
    `no answer to order ${order.orderId} (${lastFailure}); it may still take effect: ${advice}`,
  );
}
