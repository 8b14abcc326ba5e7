import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { createStagingProgress, type StagingProgress } from '@burdockrail/rollout/loadStart.js';
import { versionToFetch, type FetchedVersion } from '@burdockrail/rollout/versionChoice.js';
import type { Pacer } from '@burdockrail/rollout/rolloutPacer.js';
import type { WeightsContext } from './agentWeights.js';
import { fetchChunks } from './chunkFetch.js';
import type { ModelVersion } from './dialect.js';
import type { VersionChunks } from './versionChunks.js';

/** Interval at which the version to fetch is decided, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 120;

/** The version that is being fetched. */
export interface FetchInProgress extends ModelVersion {
  /** Time at which all its chunks will be held; infinite while none arrive. */
  expectedCompletionAt(now: Milliseconds): Milliseconds;
}

/** Fetches the chunks of the versions that the engine needs next. */
export interface WeightsFetcher extends AsyncDisposable {
  start(): void;
  readonly current: FetchInProgress | null;
}

/** Bandwidth of the fetches. */
export interface FetchBandwidth {
  readonly pacer: Pacer;
  /** Bandwidth available for weights on another agent's link, in bytes per second. */
  readonly peerBytesPerSecond: number;
}

/** Time without chunks after which a version counts as stalled, in milliseconds. */
const STALL_MILLISECONDS = 1_000;

/** A version to fetch, and the stalled newest version in whose place it is fetched. */
interface FetchTarget extends ModelVersion {
  readonly inPlaceOf: number | null;
}

interface CurrentFetch extends FetchTarget {
  readonly progress: StagingProgress;
  readonly startedAt: Milliseconds;
  /** True once nothing can arrive until the origin is back. */
  isStarved: boolean;
}

/** Creates the fetcher; it does nothing until it is started. */
export function createWeightsFetcher(
  weights: WeightsContext,
  bandwidth: FetchBandwidth,
): WeightsFetcher {
  const { context } = weights;
  const { log, time } = context;
  const stop = new AbortController();
  let running: Promise<void> = Promise.resolve();
  let current: CurrentFetch | null = null;

  const expectedCompletionAt = (now: Milliseconds): Milliseconds => {
    const chunks = current === null ? undefined : weights.chunksOf(current);
    if (chunks === undefined || current === null) return Number.POSITIVE_INFINITY;
    return current.progress.expectedCompletionAt(chunks.manifest.digests.length, now);
  };

  const fetchedVersion = (model: string, now: Milliseconds): FetchedVersion | null => {
    if (current?.model !== model) return null;
    const { version, startedAt, inPlaceOf, isStarved } = current;
    const hasStopped =
      now - startedAt > STALL_MILLISECONDS && !Number.isFinite(expectedCompletionAt(now));
    return { version, isStalled: isStarved || hasStopped, inPlaceOf };
  };

  const findTarget = (now: Milliseconds): FetchTarget | null => {
    for (const known of weights.knownVersions()) {
      const { model, newest } = known;
      const fetched = fetchedVersion(model, now);
      const version = versionToFetch(known, weights.heldVersions(model), fetched, now);
      if (version !== null)
        return { model, version, inPlaceOf: version === newest ? null : newest };
    }
    return null;
  };

  const isTarget = ({ model, version }: ModelVersion): boolean => {
    const target = findTarget(time.now());
    return target?.model === model && target.version === version;
  };

  /** Logs that another version is fetched instead. */
  const logSuperseded = ({ model, version }: ModelVersion, next: FetchTarget | null): void => {
    if (next === null) return;
    const staged = weights.chunksOf({ model, version })?.held.size ?? 0;
    log.write('rolloutSuperseded', { model, version, staged, next: next.version });
  };

  /** Opens the chunks of a version; `null` while the origin does not give its manifest. */
  const openChunks = async ({ model, version }: FetchTarget): Promise<VersionChunks | null> => {
    try {
      return await weights.openChunks({ model, version });
    } catch (error) {
      log.write('rolloutFailed', { model, version, reason: String(error) });
      return null;
    }
  };

  /** Fetches a version; returns what to fetch next if another one is to be fetched instead. */
  const fetchVersion = async (target: FetchTarget): Promise<FetchTarget | null> => {
    const { model, version } = target;
    const abort = new AbortController();
    const progress = createStagingProgress();
    let next: FetchTarget | null = null;
    const fetch: CurrentFetch = { ...target, progress, startedAt: time.now(), isStarved: false };
    current = fetch;
    const checkTimer = setInterval(() => {
      progress.record(weights.chunksOf(target)?.held.size ?? 0, time.now());
      if (abort.signal.aborted || (isTarget(target) && !stop.signal.aborted)) return;
      next = findTarget(time.now());
      logSuperseded(target, next);
      abort.abort();
    }, CHECK_INTERVAL_MILLISECONDS);
    try {
      const chunks = await openChunks(target);
      if (chunks === null) {
        fetch.isStarved = true;
        next = findTarget(time.now());
        return next?.version === version ? null : next;
      }
      const startedAt = time.now();
      await fetchChunks({
        context,
        chunks,
        origin: weights.originClient(),
        self: weights.self,
        peers: () => weights.peers(),
        ...bandwidth,
        sharesLink: weights.hasServableWeights,
        onStarved: () => {
          fetch.isStarved = true;
        },
        signal: abort.signal,
      });
      if (!chunks.isComplete) return next;
      const milliseconds = Math.round(time.now() - startedAt);
      log.write('weightsStaged', { model, version, chunks: chunks.held.size, milliseconds });
    } catch (error) {
      log.write('rolloutFailed', { model, version, reason: String(error) });
    } finally {
      clearInterval(checkTimer);
      abort.abort();
      current = null;
    }
    return next;
  };

  const run = async (): Promise<void> => {
    let next: FetchTarget | null = null;
    while (!stop.signal.aborted) {
      const target: FetchTarget | null = next ?? findTarget(time.now());
      next = target === null ? null : await fetchVersion(target);
      await pause(CHECK_INTERVAL_MILLISECONDS);
    }
  };

  return {
    start: () => {
      running = run();
    },
    get current() {
      return current === null
        ? null
        : { model: current.model, version: current.version, expectedCompletionAt };
    },
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await running;
    },
  };
}
