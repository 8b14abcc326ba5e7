import { setTimeout as delay } from 'node:timers/promises';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { toResultError } from '@burdockrail/common/outcome.js';
import type { Digest } from '@burdockrail/common/digest.js';
import { createController, type Controller } from './controller.js';
import type { DaemonContext } from './daemonRole.js';
import type { WeightsLoader } from './weightsLoader.js';
import type { WeightsOrders } from './weightsOrders.js';
import type { WeightsServing } from './weightsServing.js';
import { hasSameContents, weightsTarget, type WeightsTarget } from './weightsTarget.js';

/** Delay before a failed rollout is retried, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 500;

/** Time after an order during which reports may contain the old digest, in milliseconds. */
const ENGINE_REPORT_LAG_MILLISECONDS = 1_000;

/** Keeps one engine on the weights that the configuration specifies. */
export interface WeightsController extends AsyncDisposable {
  start(): void;
  /** Handles the digest that the engine reports; undefined if the engine does not answer. */
  handleEngineReport(digest: Digest | null | undefined): void;
}

/** Options of {@link createWeightsController}. */
export interface WeightsControllerOptions {
  readonly context: DaemonContext;
  readonly service: string;
  readonly loader: WeightsLoader;
  readonly orders: WeightsOrders;
  readonly serving: WeightsServing;
}

/** One attempt to reach a target. */
interface RolloutTask {
  readonly target: WeightsTarget;
  readonly abortController: AbortController;
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
  const { context, loader, orders, serving } = options;
  const { log, time } = context;
  let isReachable = false;
  let unsubscribe: () => void = () => undefined;

  const runTask = async (task: RolloutTask): Promise<void> => {
    try {
      await loader.run(task.target, task.abortController.signal);
      controller.send({ kind: 'live', task });
    } catch (error) {
      if (task.abortController.signal.aborted) return;
      const { code, message } = toResultError(error, ResultCode.InternalError);
      log.write('rolloutFailed', { code, reason: message });
      await delay(RETRY_DELAY_MILLISECONDS);
      controller.send({ kind: 'failed', task });
    }
  };

  const startTask = (target: WeightsTarget | null): WeightsState => {
    if (target === null) return { target, task: null };
    const task = { target, abortController: new AbortController() };
    void runTask(task);
    return { target, task };
  };

  const applyTarget = (state: WeightsState, target: WeightsTarget | null): WeightsState => {
    if (target !== null && state.target !== null && hasSameContents(target, state.target)) {
      return { ...state, target };
    }
    state.task?.abortController.abort();
    serving.setRollout(null);
    return startTask(target);
  };

  const step = (state: WeightsState, message: WeightsMessage): WeightsState => {
    switch (message.kind) {
      case 'configuration':
        return applyTarget(state, message.target);
      case 'live':
        return message.task === state.task ? { ...state, task: null } : state;
      case 'failed':
        return message.task === state.task ? startTask(state.target) : state;
      case 'lost':
        state.task?.abortController.abort();
        return startTask(state.target);
    }
  };

  const controller: Controller<WeightsMessage> = createController<WeightsState, WeightsMessage>(
    context.actors,
    'weights',
    { target: null, task: null },
    step,
    log,
  );

  const isReportPossiblyStale = (): boolean =>
    time.now() - orders.lastOrderAt < ENGINE_REPORT_LAG_MILLISECONDS;

  const handleLoss = (reported: Digest | null | undefined): void => {
    loader.recordStagingLoss();
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
    handleEngineReport: (digest) => {
      const wasReachable = isReachable;
      isReachable = digest !== undefined;
      // An engine that was unreachable may have restarted and lost its staged chunks.
      if (wasReachable && !isReachable) {
        handleLoss(digest);
        return;
      }
      const served = serving.served;
      if (served === null || digest === undefined || digest === served.digest) return;
      if (serving.isSwitching || isReportPossiblyStale()) return;
      handleLoss(digest);
    },
    [Symbol.asyncDispose]: async () => {
      unsubscribe();
      controller.stop();
      return Promise.resolve();
    },
  };
}
