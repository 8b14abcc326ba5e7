import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { WeightManifest } from '@burdockrail/protocol/protocolWeights.js';
import type { DaemonContext } from './daemonRole.js';
import type { EngineClient, EngineOrder } from './engineClient.js';
import { confirmConfiguration } from './weightsConfirmation.js';
import { sameContents, weightsTarget, type WeightsTarget } from './weightsTarget.js';

/** Gives orders to one engine, one at a time and only under a confirmed configuration. */
export interface WeightsOrders {
  /** Time of the last order; negative infinity before the first. */
  readonly orderedAt: Milliseconds;
  /**
   * Makes the engine serve a staged version.
   *
   * @remarks
   * Rejects with `StaleRevision` when the configuration in force asks for something else, and with
   * `EngineRefusedOrder` when the engine refuses or holds other bytes than it should.
   */
  give(
    kind: EngineOrder['kind'],
    manifest: WeightManifest,
    target: WeightsTarget,
    signal: AbortSignal,
  ): Promise<void>;
}

/** Creates the orders of one agent. */
export function createWeightsOrders(
  context: DaemonContext,
  service: string,
  engine: EngineClient,
): WeightsOrders {
  const { log } = context;
  let highestFencing = 0;
  let orderedAt = Number.NEGATIVE_INFINITY;
  let previous: Promise<unknown> = Promise.resolve();

  const confirmedFencing = async (target: WeightsTarget, signal: AbortSignal): Promise<number> => {
    await confirmConfiguration(context);
    signal.throwIfAborted();
    const current = context.configuration.current;
    const wanted = current === null ? null : weightsTarget(current, service);
    if (wanted === null || !sameContents(wanted, target)) {
      throw new ResultError(ResultCode.StaleRevision);
    }
    if (wanted.fencing < highestFencing) {
      log.write('orderRefused', { fencing: wanted.fencing, highest: highestFencing });
      throw new ResultError(ResultCode.StaleRevision);
    }
    return wanted.fencing;
  };

  const send = async (order: EngineOrder): Promise<void> => {
    highestFencing = order.fencing;
    orderedAt = context.time.now();
    const reply = await engine.order(order);
    orderedAt = context.time.now();
    if (reply.kind === 'stale-fencing') {
      log.write('orderRefused', { fencing: order.fencing, highest: reply.highest });
      throw new ResultError(ResultCode.EngineRefusedOrder, `highest is ${reply.highest}`);
    }
    if (reply.digest !== order.digest) {
      throw new ResultError(ResultCode.EngineRefusedOrder, `the engine holds ${reply.digest}`);
    }
  };

  return {
    get orderedAt() {
      return orderedAt;
    },
    give: async (kind, manifest, target, signal) => {
      // An engine that does not check fencing numbers carries out orders as they arrive, so the
      // next one is not sent before the last one was answered or given up.
      const mine = previous.then(async () => {
        const fencing = await confirmedFencing(target, signal);
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
      previous = mine.catch(() => undefined);
      await mine;
    },
  };
}
