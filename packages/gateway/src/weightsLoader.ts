import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { loadStartAt } from '@burdockrail/rollout/loadStart.js';
import { versionToLoad } from '@burdockrail/rollout/versionChoice.js';
import type { WeightsContext } from './agentWeights.js';
import type { ModelVersion } from './dialect.js';
import type { EngineModel } from './engineModels.js';
import type { WeightsFetcher } from './weightsFetcher.js';

/** Interval at which the version to load is decided, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 60;

/** Timeout of a load order, in milliseconds. */
const LOAD_ORDER_TIMEOUT_MILLISECONDS = 2_000;

/** Time before a load in which only requests that end by then are admitted, in milliseconds. */
const LOAD_DRAIN_MILLISECONDS = 2_000;

/** Time before a load at which its chunks are staged and read back, in milliseconds. */
const STAGE_LEAD_MILLISECONDS = 300;

/** Time after a failed load in which requests are admitted again, in milliseconds. */
const LOAD_RETRY_MILLISECONDS = 250;

const SUCCESS_STATUS = 200;
const ACCEPTED_STATUS = 202;
const FENCED_STATUS = 412;

/** Increment of the fencing token after a refusal; tokens are Unix milliseconds, so one minute. */
const FENCING_TOKEN_STEP = 60_000;

/** Loads whole versions into an engine, each at its turn. */
export interface WeightsLoader extends AsyncDisposable {
  start(): void;
}

/** A load that is due next. */
interface PlannedLoad extends ModelVersion {
  readonly at: Milliseconds;
}

/**
 * Creates the loader; it does nothing until it is started.
 *
 * @remarks
 * All staged chunks are read back and verified right before the load order, because an engine loads
 * whatever is staged at that moment without checking it.
 */
export function createWeightsLoader(
  weights: WeightsContext,
  fetcher: WeightsFetcher,
): WeightsLoader {
  const { context, engineClient, engineMonitor, admitOnlyUntil } = weights;
  const { dialect, log, time, settings } = context;
  const stop = new AbortController();
  let running: Promise<void> = Promise.resolve();
  let fencingToken = Date.now();

  const loadTurnFor = ({ model, version }: ModelVersion, known: EngineModel): Milliseconds => {
    const now = time.now();
    if (known.loaded === 0) return now;
    const agents = [...weights.peers().map(({ agent }) => agent), weights.self];
    return loadStartAt({
      versionKey: `${model} ${version}`,
      self: weights.self,
      agents,
      // The deadline of a version is set by the first naming after it, however many follow.
      namedAt: known.supersededAt ?? now,
      switchTimeoutMilliseconds: settings.bounds.versionMilliseconds,
    });
  };

  /** Load of a whole version that is due now or later. */
  const findLoad = (models: readonly EngineModel[], now: Milliseconds): PlannedLoad | null => {
    for (const known of models) {
      const { model } = known;
      const version = versionToLoad(known, weights.heldVersions(model).complete, now);
      if (version !== null) return { model, version, at: loadTurnFor({ model, version }, known) };
    }
    return null;
  };

  /** Time of the next load, also of a version that is still being fetched. */
  const expectedLoadAt = (
    load: PlannedLoad | null,
    models: readonly EngineModel[],
    now: Milliseconds,
  ): Milliseconds => {
    if (load !== null) return load.at;
    const { current } = fetcher;
    const known = models.find(({ model }) => model === current?.model);
    if (current === null || known === undefined || known.loaded === 0)
      return Number.POSITIVE_INFINITY;
    return Math.max(current.expectedCompletionAt(now), loadTurnFor(current, known));
  };

  /** Orders the load of a staged version; returns whether the engine has begun it. */
  const orderLoad = async ({ model, version }: ModelVersion): Promise<boolean> => {
    const report = await engineMonitor.refresh();
    if (report === null || report.busy) return false;
    // The report may show that the engine has restarted and lost its staging.
    if (weights.chunksOf({ model, version })?.isStaged !== true) return false;
    const order = { model, version, orders: report.orders, fence: fencingToken };
    const { status, body } = await engineClient.call(
      dialect.weights.load(order),
      LOAD_ORDER_TIMEOUT_MILLISECONDS,
    );
    const isAccepted = status === SUCCESS_STATUS || status === ACCEPTED_STATUS;
    // After the clock was set back, or from a previous agent, the engine may hold a higher token.
    if (status === FENCED_STATUS) fencingToken += FENCING_TOKEN_STEP;
    log.write('weightsOrdered', {
      model,
      version,
      orders: report.orders,
      status,
      outcome: isAccepted ? 'begun' : body.toString('utf8').slice(0, 120),
    });
    await engineMonitor.refresh();
    return isAccepted;
  };

  /** Stages a version, waits for its turn and orders the load; returns whether it has begun. */
  const load = async (planned: PlannedLoad): Promise<boolean> => {
    const { model, version } = planned;
    try {
      const isStaged = await weights.chunksOf(planned)?.stage(time.now());
      if (isStaged !== true) return false;
      await pause(Math.max(0, planned.at - time.now()));
      const due = findLoad(weights.knownVersions(), time.now());
      if (due?.model !== model || due.version !== version) return false;
      return await orderLoad(planned);
    } catch (error) {
      log.write('rolloutFailed', { model, version, reason: String(error) });
      return false;
    }
  };

  const run = async (): Promise<void> => {
    let retryAt = Number.NEGATIVE_INFINITY;
    while (!stop.signal.aborted) {
      const now = time.now();
      const report = engineMonitor.report(now);
      const models = weights.knownVersions();
      const mayLoad = report?.busy === false && now >= retryAt;
      const planned = mayLoad ? findLoad(models, now) : null;
      const loadAt = expectedLoadAt(planned, models, now);
      admitOnlyUntil(loadAt - now < LOAD_DRAIN_MILLISECONDS ? loadAt : null);
      weights.reserveStaging(planned);
      const isDue = planned !== null && planned.at - now < STAGE_LEAD_MILLISECONDS;
      // An engine that cannot load goes on with the weights that it has.
      if (isDue && !(await load(planned))) retryAt = time.now() + LOAD_RETRY_MILLISECONDS;
      await pause(CHECK_INTERVAL_MILLISECONDS);
    }
  };

  return {
    start: () => {
      running = run();
    },
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await running;
    },
  };
}
