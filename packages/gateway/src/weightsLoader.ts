import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { loadStartAt } from '@burdockrail/rollout/loadStart.js';
import { versionToLoad } from '@burdockrail/rollout/versionChoice.js';
import { listsLoad } from '@burdockrail/membership/loadVerdicts.js';
import type { WeightsContext } from './agentWeights.js';
import type { EngineReport, ModelVersion } from './dialect.js';
import type { EngineModel } from './engineModels.js';
import type { LoadDoubt } from './loadDoubts.js';
import type { WeightsFetcher } from './weightsFetcher.js';

/** Interval at which the version to load is decided, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 60;

/** Timeout of a load order, in milliseconds. */
const LOAD_ORDER_TIMEOUT_MILLISECONDS = 2_000;

/** Time in which an engine is expected to follow an order without an answer, in milliseconds. */
const LATE_ORDER_MILLISECONDS = 10_000;

/** Time before a load in which only requests that end by then are admitted, in milliseconds. */
const LOAD_DRAIN_MILLISECONDS = 2_000;

/** Time before a load at which its chunks are staged and read back, in milliseconds. */
const STAGE_LEAD_MILLISECONDS = 300;

/** Time until a load is ordered again of which the engine says that it has it, in milliseconds. */
const UNSOUND_RETRY_MILLISECONDS = 5_000;

/** Longest wait until the directory shows a load as unsound, in milliseconds: two watches. */
const UNSOUND_NOTICE_MILLISECONDS = 1_500;

/** Time in which the manifest of a load that a former agent ordered is asked for, in milliseconds. */
const INHERITED_MANIFEST_MILLISECONDS = 5_000;

/** Time after a failed load in which requests are admitted again, in milliseconds. */
const LOAD_RETRY_MILLISECONDS = 250;

/** How an engine answers a load order: it begins, has the weights already, or can't load now. */
type LoadAnswer = 'begun' | 'held' | 'refused';

const loadAnswers: Readonly<Partial<Record<number, LoadAnswer>>> = { 200: 'held', 202: 'begun' };

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
 * whatever is staged at that moment without checking it. Chunks that may have turned bad long before
 * the engine took them are read back again afterwards, and nothing is served until then.
 */
export function createWeightsLoader(
  weights: WeightsContext,
  fetcher: WeightsFetcher,
): WeightsLoader {
  const { context, engineClient, engineMonitor, admitOnlyUntil, doubts } = weights;
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

  /**
   * Waits until the directory shows that a load is unsound: once its chunks have been staged anew, a
   * read-back by the next agent would no longer show it.
   */
  const untilKnownAsUnsound = async (load: ModelVersion): Promise<void> => {
    const endsAt = time.now() + UNSOUND_NOTICE_MILLISECONDS;
    const isKnown = (): boolean => listsLoad(weights.engineRecord()?.loads?.unsound ?? [], load);
    while (!isKnown() && time.now() < endsAt && !stop.signal.aborted)
      await pause(CHECK_INTERVAL_MILLISECONDS);
  };

  /** Records whether the chunks of a load were sound when the engine took them. */
  const settleDoubt = async (load: LoadDoubt, takenBy: Milliseconds): Promise<void> => {
    const { model, version, orderedAt } = load;
    const chunks = weights.chunksOf(load);
    const isUnchanged = !weights.hasStagedSince(orderedAt);
    const isSound = isUnchanged && (await chunks?.wereSoundWhenTaken(takenBy)) === true;
    doubts.settle(load, isSound);
    if (isSound) return;
    log.write('weightsUnsound', { model, version, age: Math.round(takenBy - orderedAt) });
    await untilKnownAsUnsound(load);
  };

  /** Settles the doubt of a load that a former agent ordered, once its manifest is there. */
  const settleInherited = async (load: LoadDoubt): Promise<void> => {
    const chunks = await weights.openChunks(load).catch((error: unknown) => {
      const { model, version } = load;
      log.write('rolloutFailed', { model, version, reason: String(error) });
      return null;
    });
    const isGivenUp = time.now() - load.orderedAt > INHERITED_MANIFEST_MILLISECONDS;
    if (chunks !== null || isGivenUp) await settleDoubt(load, time.now());
  };

  /** Orders the load of a staged version; returns how the engine answered. */
  const orderLoad = async ({ model, version }: ModelVersion): Promise<LoadAnswer> => {
    const load = { model, version };
    const report = await engineMonitor.refresh();
    if (report === null || report.busy) return 'refused';
    const chunks = weights.chunksOf(load);
    // The report may show that the engine has restarted and lost its staging.
    if (chunks?.isStaged !== true || !(await chunks.stage())) return 'refused';
    const orderedAt = time.now();
    const earlierDoubt = doubts.ordered(load, orderedAt);
    const order = { model, version, orders: report.orders, fence: fencingToken };
    const { status, body } = await engineClient.call(
      dialect.weights.load(order),
      LOAD_ORDER_TIMEOUT_MILLISECONDS,
    );
    const takenBy = time.now();
    const answer = loadAnswers[status] ?? 'refused';
    // After the clock was set back, or from a previous agent, the engine may hold a higher token.
    if (status === FENCED_STATUS) fencingToken += FENCING_TOKEN_STEP;
    log.write('weightsOrdered', {
      model,
      version,
      orders: report.orders,
      status,
      outcome: answer === 'refused' ? body.toString('utf8').slice(0, 120) : answer,
      oldestReadBackMilliseconds: Math.round(chunks.oldestReadBackMilliseconds(orderedAt)),
      answeredMilliseconds: Math.round(takenBy - orderedAt),
    });
    const startedAt = (await engineMonitor.refresh())?.startedAt ?? report.startedAt;
    const hasRestarted = startedAt !== report.startedAt;
    if (answer === 'begun') {
      if (hasRestarted) doubts.ordered(load, orderedAt);
      const doubt = doubts.of(load);
      if (doubt !== null)
        await settleDoubt(
          { ...doubt, orderedAt },
          hasRestarted ? Number.POSITIVE_INFINITY : takenBy,
        );
    } else doubts.restore(load, earlierDoubt);
    return answer;
  };

  /** Stages a version, waits for its turn and orders the load. */
  const load = async (planned: PlannedLoad): Promise<LoadAnswer> => {
    const { model, version } = planned;
    try {
      const isStaged = await weights.chunksOf(planned)?.stage();
      if (isStaged !== true) return 'refused';
      await pause(Math.max(0, planned.at - time.now()));
      const due = findLoad(weights.knownVersions(), time.now());
      if (due?.model !== model || due.version !== version) return 'refused';
      return await orderLoad(planned);
    } catch (error) {
      log.write('rolloutFailed', { model, version, reason: String(error) });
      return 'refused';
    }
  };

  /** Settles the doubt of a load that the engine has, if it may have followed a lost order. */
  const settleTaken = async (report: EngineReport | null): Promise<void> => {
    const doubt = doubts.unsettled;
    if (report === null || report.busy || doubt === null) return;
    const held = report.models.find(({ model }) => model === doubt.model)?.version ?? 0;
    if (held === doubt.version && doubt.isInherited) await settleInherited(doubt);
    else if (held === doubt.version) await settleDoubt(doubt, time.now());
    // An engine doesn't go back to an older version.
    else if (held > doubt.version) doubts.restore(doubt, null);
  };

  const run = async (): Promise<void> => {
    let retryAt = Number.NEGATIVE_INFINITY;
    while (!stop.signal.aborted) {
      weights.inheritedLoads.observe(
        engineMonitor.report(time.now()),
        weights.engineRecord(),
        time.now(),
      );
      const inherited = doubts.unsettled;
      if (inherited?.isInherited === true) weights.reserveStaging(inherited);
      await settleTaken(engineMonitor.report(time.now()));
      const now = time.now();
      const report = engineMonitor.report(now);
      const models = weights.knownVersions();
      const mayLoad = report?.busy === false && now >= retryAt && weights.inheritedLoads.areKnown;
      const planned = mayLoad ? findLoad(models, now) : null;
      const loadAt = expectedLoadAt(planned, models, now);
      admitOnlyUntil(loadAt - now < LOAD_DRAIN_MILLISECONDS ? loadAt : null);
      const { unsettled } = doubts;
      const mayBeFollowed =
        unsettled !== null && now - unsettled.orderedAt < LATE_ORDER_MILLISECONDS;
      // What the engine may have taken is not replaced until it has been read back.
      weights.reserveStaging(planned ?? (mayBeFollowed ? unsettled : null));
      const isDue = planned !== null && planned.at - now < STAGE_LEAD_MILLISECONDS;
      // An engine that cannot load goes on with the weights that it has.
      if (isDue) {
        const answer = await load(planned);
        const isUnsound = doubts.of(planned)?.isUnsound === true;
        if (answer === 'refused') retryAt = time.now() + LOAD_RETRY_MILLISECONDS;
        else if (answer === 'held' && isUnsound) retryAt = time.now() + UNSOUND_RETRY_MILLISECONDS;
      }
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
