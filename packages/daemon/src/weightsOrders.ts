import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { WeightManifest } from '@burdockrail/protocol/protocolWeights.js';
import type { DaemonContext } from './daemonRole.js';
import type { EngineClient, EngineOrder } from './engineClient.js';
import { confirmConfiguration } from './weightsConfirmation.js';
import { hasSameContents, weightsTarget, type WeightsTarget } from './weightsTarget.js';

/** Issues orders to one engine, one at a time and only under a confirmed configuration. */
export interface WeightsOrders {
  /** Time of the last order; negative infinity if there was none. */
  readonly lastOrderAt: Milliseconds;
  /**
   * Makes the engine serve a staged version.
   *
   * @throws {@link ResultError} with `StaleRevision` if the configuration in force has another
   * target, and with `EngineRefusedOrder` if the engine refuses the order or reports another digest.
   */
  issue(
    kind: EngineOrder['kind'],
    manifest: WeightManifest,
    target: WeightsTarget,
    signal: AbortSignal,
  ): Promise<void>;
}

/** Creates the issuer of orders to the engine of one agent. */
export function createWeightsOrders(
  context: DaemonContext,
  service: string,
  engine: EngineClient,
): WeightsOrders {
  const { log } = context;
  let highestFencingToken = 0;
  let lastOrderAt = Number.NEGATIVE_INFINITY;
  let previousOrder: Promise<unknown> = Promise.resolve();

  const confirmFencingToken = async (
    target: WeightsTarget,
    signal: AbortSignal,
  ): Promise<number> => {
    await confirmConfiguration(context);
    signal.throwIfAborted();
    const current = context.configuration.current;
    const targetInForce = current === null ? null : weightsTarget(current, service);
    if (targetInForce === null || !hasSameContents(targetInForce, target)) {
      throw new ResultError(ResultCode.StaleRevision);
    }
    if (targetInForce.fencingToken < highestFencingToken) {
      log.write('orderRefused', {
        fencing: targetInForce.fencingToken,
        highest: highestFencingToken,
      });
      throw new ResultError(ResultCode.StaleRevision);
    }
    return targetInForce.fencingToken;
  };

  const send = async (order: EngineOrder): Promise<void> => {
    highestFencingToken = order.fencing;
    lastOrderAt = context.time.now();
    const reply = await engine.sendOrder(order);
    lastOrderAt = context.time.now();
    if (reply.kind === 'stale-fencing') {
      log.write('orderRefused', { fencing: order.fencing, highest: reply.highest });
      throw new ResultError(
        ResultCode.EngineRefusedOrder,
        `the engine's highest fencing token is ${reply.highest}`,
      );
    }
    if (reply.digest !== order.digest) {
      throw new ResultError(
        ResultCode.EngineRefusedOrder,
        `the engine loaded another digest: ${reply.digest}`,
      );
    }
  };

  return {
    get lastOrderAt() {
      return lastOrderAt;
    },
    issue: async (kind, manifest, target, signal) => {
      // An engine that does not check fencing tokens executes orders as they arrive, so an order is
      // sent only after the previous one was answered or has failed.
      const currentOrder = previousOrder.then(async () => {
        const fencing = await confirmFencingToken(target, signal);
        const { digest, size, model, version } = manifest;
        await send({
          kind,
          digest,
          size,
          chunks: manifest.chunks.length,
          model,
          version,
          fencing,
          ...(kind === 'adapter' ? { adapter: model } : {}),
        });
      });
      previousOrder = currentOrder.catch(() => undefined);
      await currentOrder;
    },
  };
}
