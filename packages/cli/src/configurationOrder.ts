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

/** Time after which an unanswered order also goes to the next process, in milliseconds. */
const NEXT_PROCESS_MILLISECONDS = 1_000;

/** An order, where it goes, and until when it is sent. */
export interface OrderDelivery {
  readonly client: OperatorClient;
  readonly control: readonly OperatorTarget[];
  readonly order: ConfigurationApply;
  readonly time: TimeSource;
  readonly timeoutMilliseconds: Milliseconds;
}

/**
 * Sends an order until a control process answers it or the time is over.
 *
 * @remarks
 * An order whose answer was lost may have been committed. It is sent again under the same order id,
 * so that the first answer comes back and nothing is applied twice. Rejects with
 * `OrderNotConfirmed` when the time is over, and at once with any result that a repetition would
 * not change.
 */
export async function sendOrder(delivery: OrderDelivery): Promise<ConfigurationApplyReply> {
  const { time, timeoutMilliseconds, order } = delivery;
  const endsAt = time.now() + timeoutMilliseconds;
  for (;;) {
    const answer = await sendRound(delivery, endsAt);
    if (answer.kind === 'reply') return answer.reply;
    if (answer.kind === 'refused') throw answer.error;
    if (time.now() >= endsAt) throw notConfirmed(order, answer.detail);
    await setTimeout(ROUND_PAUSE_MILLISECONDS);
  }
}

/** What became of an order that went to every process once. */
type RoundAnswer =
  | { readonly kind: 'reply'; readonly reply: ConfigurationApplyReply }
  | { readonly kind: 'refused'; readonly error: ResultError }
  | { readonly kind: 'unanswered'; readonly detail: string };

// A process that is frozen or cut off without a word would hold the order for its whole timeout, so
// the next one gets it after a while, or at once when the one before it fails.
async function sendRound(delivery: OrderDelivery, endsAt: Milliseconds): Promise<RoundAnswer> {
  const stop = new AbortController();
  const failures: string[] = [];
  let turn: Promise<unknown> = Promise.resolve();
  const attempts = delivery.control.map(async (target) => {
    const begin = turn;
    const { promise: failed, resolve: fail } = createSignal();
    turn = begin.then(async () => Promise.race([failed, pauseBeforeNext(stop.signal)]));
    await begin;
    stop.signal.throwIfAborted();
    try {
      return await sendOnce(delivery, target, endsAt);
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
    stop.abort();
  }
}

async function pauseBeforeNext(signal: AbortSignal): Promise<void> {
  await setTimeout(NEXT_PROCESS_MILLISECONDS, undefined, { signal }).catch(() => undefined);
}

async function sendOnce(
  { client, order, time }: OrderDelivery,
  target: OperatorTarget,
  endsAt: Milliseconds,
): Promise<RoundAnswer> {
  const left = Math.max(SHORTEST_CALL_MILLISECONDS, endsAt - time.now());
  const bound = Math.min(QUORUM_TIMEOUT_MILLISECONDS, left);
  try {
    const reply = await client.call(target, 'configuration.apply', order, bound);
    return { kind: 'reply', reply };
  } catch (error) {
    const result = toResultError(error, ResultCode.ConnectionLost);
    if (repeatedAfter.has(result.code)) throw result;
    return { kind: 'refused', error: result };
  }
}

function createSignal(): { readonly promise: Promise<void>; readonly resolve: () => void } {
  let resolve: () => void = () => undefined;
  const promise = new Promise<void>((settle) => {
    resolve = settle;
  });
  return { promise, resolve };
}

function notConfirmed(order: ConfigurationApply, lastFailure: string): ResultError {
  const advice = `run it again with --order-id ${order.orderId} --expect-revision ${order.expectedRevision}`;
  return new ResultError(
    ResultCode.OrderNotConfirmed,
    `no answer to order ${order.orderId} (${lastFailure}); it may still take effect: ${advice}`,
  );
}
