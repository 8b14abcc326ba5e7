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
  QUORUM_CALL_TIMEOUT_MILLISECONDS,
  type OperatorClient,
} from './operatorClient.js';
import type { OperatorTarget } from './operatorTarget.js';

/** Delay before an unanswered order is sent to the control processes again. */
const RETRY_INTERVAL_MILLISECONDS = 250;

/** Minimum timeout of a call, also if less time is left until the deadline. */
const MINIMUM_CALL_TIMEOUT_MILLISECONDS = 500;

/** Results after which the order is resent under its order id. */
const retryableResultCodes: ReadonlySet<ResultCode> = new Set([
  ResultCode.NotLeader,
  ResultCode.QuorumUnreachable,
  ResultCode.ReplicaIsLearner,
  ResultCode.ConnectionLost,
  ResultCode.CallTimedOut,
]);

/** Time after which an unanswered order is also sent to the next control process. */
const HEDGE_DELAY_MILLISECONDS = 1_000;

/** An order with its destinations and its timeout. */
export interface OrderDelivery {
  readonly client: OperatorClient;
  readonly control: readonly OperatorTarget[];
  readonly order: ConfigurationApply;
  readonly time: TimeSource;
  readonly timeoutMilliseconds: Milliseconds;
}

/**
 * Sends an order repeatedly until a control process answers it or the timeout expires.
 *
 * @remarks
 * An order whose answer was lost may have been committed. It is resent under the same order id,
 * which makes the resend idempotent: it returns the first answer and applies nothing twice. Rejects
 * with `OrderNotConfirmed` when the timeout expires, and immediately with any result that a resend
 * would not change.
 */
export async function sendOrder(delivery: OrderDelivery): Promise<ConfigurationApplyReply> {
  const { time, timeoutMilliseconds, order } = delivery;
  const deadlineAt = time.now() + timeoutMilliseconds;
  for (;;) {
    const result = await sendHedged(delivery, deadlineAt);
    if (result.kind === 'reply') return result.reply;
    if (result.kind === 'refused') throw result.error;
    if (time.now() >= deadlineAt) throw createNotConfirmedError(order, result.detail);
    await setTimeout(RETRY_INTERVAL_MILLISECONDS);
  }
}

/** Result of sending an order to each control process once. */
type SendResult =
  | { readonly kind: 'reply'; readonly reply: ConfigurationApplyReply }
  | { readonly kind: 'refused'; readonly error: ResultError }
  | { readonly kind: 'unanswered'; readonly detail: string };

// Hedges the order: a process that hangs or is partitioned would otherwise delay it for the whole
// call timeout. Each further process gets the order after the hedge delay, or as soon as the one
// before it fails.
async function sendHedged(delivery: OrderDelivery, deadlineAt: Milliseconds): Promise<SendResult> {
  const cancellation = new AbortController();
  const failures: string[] = [];
  let nextStart: Promise<unknown> = Promise.resolve();
  const attempts = delivery.control.map(async (target) => {
    const start = nextStart;
    const { promise: failed, resolve: fail } = createDeferred();
    nextStart = start.then(async () => Promise.race([failed, waitHedgeDelay(cancellation.signal)]));
    await start;
    cancellation.signal.throwIfAborted();
    try {
      return await sendToTarget(delivery, target, deadlineAt);
    } catch (error) {
      failures.push(describeFailure(target, toResultError(error, ResultCode.ConnectionLost)));
      fail();
      throw error;
    }
  });
  try {
    return await Promise.any(attempts);
  } catch {
    return { kind: 'unanswered', detail: failures.join('; ') };
  } finally {
    cancellation.abort();
  }
}

async function waitHedgeDelay(signal: AbortSignal): Promise<void> {
  await setTimeout(HEDGE_DELAY_MILLISECONDS, undefined, { signal }).catch(() => undefined);
}

async function sendToTarget(
  { client, order, time }: OrderDelivery,
  target: OperatorTarget,
  deadlineAt: Milliseconds,
): Promise<SendResult> {
  const remainingMilliseconds = Math.max(
    MINIMUM_CALL_TIMEOUT_MILLISECONDS,
    deadlineAt - time.now(),
  );
  const callTimeoutMilliseconds = Math.min(QUORUM_CALL_TIMEOUT_MILLISECONDS, remainingMilliseconds);
  try {
    const reply = await client.call(target, 'configuration.apply', order, callTimeoutMilliseconds);
    return { kind: 'reply', reply };
  } catch (error) {
    const result = toResultError(error, ResultCode.ConnectionLost);
    if (retryableResultCodes.has(result.code)) throw result;
    return { kind: 'refused', error: result };
  }
}

function createDeferred(): { readonly promise: Promise<void>; readonly resolve: () => void } {
  let resolve: () => void = () => undefined;
  const promise = new Promise<void>((settle) => {
    resolve = settle;
  });
  return { promise, resolve };
}

function createNotConfirmedError(order: ConfigurationApply, lastFailure: string): ResultError {
  const advice = `run it again with --order-id ${order.orderId} --expect-revision ${order.expectedRevision}`;
  return new ResultError(
    ResultCode.OrderNotConfirmed,
    `no answer to order ${order.orderId} (${lastFailure}); it may still take effect: ${advice}`,
  );
}
