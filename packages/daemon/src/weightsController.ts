import { setTimeout as delay } from 'node:timers/promises';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError, toResultError } from '@burdockrail/common/outcome.js';
import type { Digest } from '@burdockrail/common/digest.js';
import type { Announcement, ServedVersion } from '@burdockrail/protocol/protocolMembership.js';
import type { WeightManifest } from '@burdockrail/protocol/protocolWeights.js';
import { createController, type Controller } from './controller.js';
import type { DaemonContext } from './daemonRole.js';
import type { EngineClient, EngineOrder } from './engineClient.js';
import { confirmConfiguration } from './weightsConfirmation.js';
import type { RolloutJob } from './weightsRollout.js';
import type { ChunkStore } from './weightsStore.js';
import { sameContents, weightsTarget, type WeightsTarget } from './weightsTarget.js';
import type { WeightsOrigin } from './weightsOrigin.js';
import { findStaged } from './weightsVerifier.js';

/** Wait before an interrupted rollout is tried again, in milliseconds. */
const RETRY_MILLISECONDS = 500;

/** Time after an order during which the engine's lagging report may still name the old digest. */
const REPORT_LAG_MILLISECONDS = 2_000;

/** Progress of the version that is being fetched. */
export type RolloutProgress = NonNullable<Announcement['rollout']>;

/** Brings the weights that the configuration names to one engine. */
export interface WeightsController extends AsyncDisposable {
  /** Weights that the engine serves; null when none are live. */
  readonly served: ServedVersion | null;
  readonly rollout: RolloutProgress | null;
  /** Tells whether answers of these weights may be given to callers. */
  readonly allows: (digest: Digest) => boolean;
  start(): void;
  /** Takes the digest that the engine reports; undefined when it does not answer. */
  engineReports(digest: Digest | null | undefined): void;
}

/** Brings a version to the engine's staging and verifies it there. */
export type StageVersion = (job: RolloutJob) => Promise<void>;

/** Options of {@link createWeightsController}. */
export interface WeightsControllerOptions {
  readonly context: DaemonContext;
  readonly service: string;
  readonly engine: EngineClient;
  readonly origin: WeightsOrigin;
  readonly store: ChunkStore;
  readonly stage: StageVersion;
  /** Called when `served` or `rollout` begins, ends or changes. */
  readonly changed: () => void;
}

/** One attempt to reach a target. */
interface RolloutTask {
  readonly target: WeightsTarget;
  readonly cancel: AbortController;
}

interface WeightsState {
  readonly target: WeightsTarget | null;
  readonly task: RolloutTask | null;
  readonly isLive: boolean;
}

type WeightsMessage =
  | { readonly kind: 'configuration'; readonly target: WeightsTarget | null }
  | { readonly kind: 'live'; readonly task: RolloutTask }
  | { readonly kind: 'failed'; readonly task: RolloutTask }
  | { readonly kind: 'lost' };

/** Creates the controller of one engine's weights. */
export function createWeightsController(options: WeightsControllerOptions): WeightsController {
  const { context, engine, origin, store } = options;
  const { log, time } = context;
  const allowed = new Set<Digest>();
  let served: ServedVersion | null = null;
  let rollout: RolloutProgress | null = null;
  let highestFencing = 0;
  let orderedAt = Number.NEGATIVE_INFINITY;
  let isStagingUnknown = true;
  let unsubscribe: () => void = () => undefined;

  const setServed = (next: ServedVersion | null): void => {
    served = next;
    if (next !== null) allowed.add(next.digest);
    options.changed();
  };

  const order = async (task: RolloutTask, manifest: WeightManifest): Promise<void> => {
    const committed = await confirmConfiguration(context);
    task.cancel.signal.throwIfAborted();
    const target = weightsTarget({ ...requireConfiguration(context), committed }, options.service);
    const fencing = target?.fencing ?? 0;
    if (fencing < highestFencing) {
      log.write('orderRefused', { fencing, highest: highestFencing });
      throw new ResultError(ResultCode.StaleRevision);
    }
    highestFencing = fencing;
    allowed.add(manifest.digest);
    const reply = await engine.order(orderFor(manifest, served, fencing));
    if (reply.kind === 'stale-fencing') {
      log.write('orderRefused', { fencing, highest: reply.highest });
      throw new ResultError(ResultCode.EngineRefusedOrder, `highest is ${reply.highest}`);
    }
    if (reply.digest !== manifest.digest) {
      throw new ResultError(ResultCode.EngineRefusedOrder, `the engine holds ${reply.digest}`);
    }
    orderedAt = time.now();
  };

  const stage = async (task: RolloutTask, manifest: WeightManifest): Promise<void> => {
    const progressed = (heldChunks: number): void => {
      rollout = { digest: manifest.digest, heldChunks, chunks: manifest.chunks.length };
    };
    const { signal } = task.cancel;
    store.open(manifest);
    if (isStagingUnknown) await findStaged(engine, store, manifest, signal);
    isStagingUnknown = false;
    progressed(store.held(manifest.digest).size);
    options.changed();
    await options.stage({ manifest, target: task.target.weights, signal, progressed });
  };

  /** Lets peers take chunks from an engine that was live before this process knew of it. */
  const offerStaged = (manifest: WeightManifest, signal: AbortSignal): void => {
    store.open(manifest);
    findStaged(engine, store, manifest, signal).catch(() => undefined);
  };

  const dropOthers = async (digest: Digest): Promise<void> => {
    for (const version of store.versions) {
      if (version !== digest) await store.drop(version);
    }
  };

  const bringLive = async (task: RolloutTask): Promise<void> => {
    const { signal } = task.cancel;
    const { model, version, expectedDigest } = task.target.weights;
    const manifest = await origin.manifest(model, version, expectedDigest, signal);
    const load = await engine.load();
    if (load.digest !== manifest.digest) {
      log.write('rolloutStarted', { model, version, digest: manifest.digest });
      await stage(task, manifest);
      await order(task, manifest);
      await dropOthers(manifest.digest);
    } else {
      offerStaged(manifest, signal);
    }
    rollout = null;
    setServed({ model, version, digest: manifest.digest, adapters: [] });
    log.write('weightsLive', { model, version, digest: manifest.digest });
  };

  const run = async (task: RolloutTask): Promise<void> => {
    try {
      await bringLive(task);
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
    if (target === null) return { target, task: null, isLive: false };
    const task = { target, cancel: new AbortController() };
    void run(task);
    return { target, task, isLive: false };
  };

  const takeConfiguration = (state: WeightsState, target: WeightsTarget | null): WeightsState => {
    if (target !== null && state.target !== null && sameContents(target, state.target)) {
      return { ...state, target };
    }
    state.task?.cancel.abort();
    rollout = null;
    return begin(target);
  };

  const step = (state: WeightsState, message: WeightsMessage): WeightsState => {
    switch (message.kind) {
      case 'configuration':
        return takeConfiguration(state, message.target);
      case 'live':
        return message.task === state.task ? { ...state, task: null, isLive: true } : state;
      case 'failed':
        return message.task === state.task ? begin(state.target) : state;
      case 'lost':
        return state.isLive ? begin(state.target) : state;
    }
  };

  const initial: WeightsState = { target: null, task: null, isLive: false };
  const controller: Controller<WeightsMessage> = createController(
    context.actors,
    'weights',
    initial,
    step,
    log,
  );

  const lose = (reason: string): void => {
    if (served === null) return;
    log.write('weightsLost', { digest: served.digest, reason });
    setServed(null);
  };

  return {
    get served() {
      return served;
    },
    get rollout() {
      return rollout;
    },
    allows: (digest) => allowed.has(digest),
    start: () => {
      unsubscribe = context.configuration.subscribe((configuration) => {
        const target = weightsTarget(configuration, options.service);
        controller.send({ kind: 'configuration', target });
      });
    },
    engineReports: (digest) => {
      if (served === null || digest === served.digest) return;
      if (time.now() - orderedAt < REPORT_LAG_MILLISECONDS && digest !== undefined) return;
      if (digest === undefined || digest === null) {
        store.forgetStaged();
        isStagingUnknown = true;
      }
      lose(digest === undefined ? 'the engine does not answer' : 'the engine holds other weights');
      controller.send({ kind: 'lost' });
    },
    [Symbol.asyncDispose]: async () => {
      unsubscribe();
      controller.stop();
      return Promise.resolve();
    },
  };
}

function requireConfiguration(
  context: DaemonContext,
): NonNullable<DaemonContext['configuration']['current']> {
  const current = context.configuration.current;
  if (current === null) throw new ResultError(ResultCode.GroupNotFormed);
  return current;
}

function orderFor(
  manifest: WeightManifest,
  served: ServedVersion | null,
  fencing: number,
): EngineOrder {
  return {
    kind: served?.model === manifest.model ? 'version' : 'load',
    digest: manifest.digest,
    size: manifest.size,
    chunks: manifest.chunks.length,
    model: manifest.model,
    version: manifest.version,
    fencing,
  };
}
