import { setTimeout as delay } from 'node:timers/promises';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { toResultError } from '@burdockrail/common/outcome.js';
import type { Digest } from '@burdockrail/common/digest.js';
import { createController, type Controller } from './controller.js';
import type { DaemonContext } from './daemonRole.js';
import type { WeightsBringUp } from './weightsBringUp.js';
import type { WeightsOrders } from './weightsOrders.js';
import type { WeightsServing } from './weightsServing.js';
import { sameContents, weightsTarget, type WeightsTarget } from './weightsTarget.js';

/** Wait before an interrupted rollout is tried again, in milliseconds. */
const RETRY_MILLISECONDS = 500;

/** Time after an order during which a report may still name the old digest, in milliseconds. */
const REPORT_LAG_MILLISECONDS = 1_000;

/** Keeps one engine at the weights that the configuration names. */
export interface WeightsController extends AsyncDisposable {
  start(): void;
  /** Takes the digest that the engine reports; undefined when it does not answer. */
  engineReports(digest: Digest | null | undefined): void;
}

/** Options of {@link createWeightsController}. */
export interface WeightsControllerOptions {
  readonly context: DaemonContext;
  readonly service: string;
  readonly bringUp: WeightsBringUp;
  readonly orders: WeightsOrders;
  readonly serving: WeightsServing;
}

/** One attempt to reach a target. */
interface RolloutTask {
  readonly target: WeightsTarget;
  readonly cancel: AbortController;
}

interface WeightsState {
  readonly target: WeightsTarget | null;
  readonly task: RolloutTask | null;
}

type WeightsMessage =
  | { readonly kind: 'configuration'; readonly target: WeightsTarget | null }
  | { readonly kind: 'live'; readonly task: RolloutTask }
  | { readonly kind: 'failed'; readonly task: RolloutTask }
  | { readonly kind: 'lost' };

/** Creates the controller of one engine's weights. */
export function createWeightsController(options: WeightsControllerOptions): WeightsController {
  const { context, bringUp, orders, serving } = options;
  const { log, time } = context;
  let isReachable = false;
  let unsubscribe: () => void = () => undefined;

  const run = async (task: RolloutTask): Promise<void> => {
    try {
      await bringUp.run(task.target, task.cancel.signal);
      controller.send({ kind: 'live', task });
    } catch (error) {
      if (task.cancel.signal.aborted) return;
      const { code, message } = toResultError(error, ResultCode.InternalError);
      log.write('rolloutFailed', { code, reason: message });
      await delay(RETRY_MILLISECONDS);
      controller.send({ kind: 'failed', task });
    }
  };

  const begin = (target: WeightsTarget | null): WeightsState => {
    if (target === null) return { target, task: null };
    const task = { target, cancel: new AbortController() };
    void run(task);
    return { target, task };
  };

  const takeConfiguration = (state: WeightsState, target: WeightsTarget | null): WeightsState => {
    if (target !== null && state.target !== null && sameContents(target, state.target)) {
      return { ...state, target };
    }
    state.task?.cancel.abort();
    serving.setRollout(null);
    return begin(target);
  };

  const step = (state: WeightsState, message: WeightsMessage): WeightsState => {
    switch (message.kind) {
      case 'configuration':
        return takeConfiguration(state, message.target);
      case 'live':
        return message.task === state.task ? { ...state, task: null } : state;
      case 'failed':
        return message.task === state.task ? begin(state.target) : state;
      case 'lost':
        state.task?.cancel.abort();
        return begin(state.target);
    }
  };

  const controller: Controller<WeightsMessage> = createController<WeightsState, WeightsMessage>(
    context.actors,
    'weights',
    { target: null, task: null },
    step,
    log,
  );

  const isLagging = (): boolean => time.now() - orders.orderedAt < REPORT_LAG_MILLISECONDS;

  const lose = (reported: Digest | null | undefined): void => {
    bringUp.stagingLost();
    log.write('weightsLost', {
      digest: serving.served?.digest ?? null,
      reported: reported ?? null,
    });
    serving.setServed(null);
    controller.send({ kind: 'lost' });
  };

  return {
    start: () => {
      unsubscribe = context.configuration.subscribe((configuration) => {
        const target = weightsTarget(configuration, options.service);
        controller.send({ kind: 'configuration', target });
      });
    },
    engineReports: (digest) => {
      const wasReachable = isReachable;
      isReachable = digest !== undefined;
      // An engine that was gone may have restarted without what was staged.
      if (wasReachable && !isReachable) {
        lose(digest);
        return;
      }
      const served = serving.served;
      if (served === null || digest === undefined || digest === served.digest) return;
      if (serving.isSwitching || isLagging()) return;
      lose(digest);
    },
    [Symbol.asyncDispose]: async () => {
      unsubscribe();
      controller.stop();
      return Promise.resolve();
    },
  };
}
