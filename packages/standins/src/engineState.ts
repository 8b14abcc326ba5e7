import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { monotonicClock } from '@burdockrail/common/timeSource.js';
import { createEngineBatch, type EngineBatch } from './engineBatch.js';
import { createEngineCounts, type EngineCounts, type EngineFault } from './engineFaults.js';
import { createPrefixCache, type PrefixCache } from './enginePrefixCache.js';
import type { EngineSettings } from './engineSettings.js';
import type { EngineStream } from './engineStream.js';
import { createEngineWeights, type EngineWeights } from './engineWeights.js';
import { createFaultSet, type FaultSet } from './faultSet.js';

/** Load of an engine at a point in time. */
export interface LoadSample {
  readonly at: Milliseconds;
  readonly running: number;
  readonly waiting: number;
  readonly cacheUse: number;
}

/** State of an engine; a crash clears everything except `counts` and `faults`. */
export interface EngineState {
  readonly settings: EngineSettings;
  readonly counts: EngineCounts;
  readonly faults: FaultSet<EngineFault>;
  readonly weights: EngineWeights;
  readonly cache: PrefixCache;
  readonly batch: EngineBatch;
  readonly streams: Map<string, EngineStream>;
  /** Highest fencing token seen since the last crash. */
  highestFencing: number;
  /** Load at the time `loadLagMilliseconds` ago. */
  reportedLoad(): LoadSample;
  /** Clears everything that is lost in a crash, and aborts all streams. */
  reset(): void;
}

const emptySample: LoadSample = { at: -Infinity, running: 0, waiting: 0, cacheUse: 0 };

/** Creates the state of an engine that has just started. */
export function createEngineState(settings: EngineSettings): EngineState {
  const counts = createEngineCounts();
  const weights = createEngineWeights();
  const cache = createPrefixCache({
    capacityBlocks: settings.cacheBlocks,
    eventLagMilliseconds: settings.eventLagMilliseconds,
    eventLoss: settings.eventLoss,
  });
  const streams = new Map<string, EngineStream>();
  let samples: LoadSample[] = [emptySample];
  const now = (): Milliseconds => monotonicClock.now();

  const recordSample = (): void => {
    samples.push({
      at: now(),
      running: batch.running,
      waiting: batch.waiting,
      cacheUse: cache.usedShare,
    });
    dropOldSamples();
  };

  const dropOldSamples = (): void => {
    const visibleUntil = now() - settings.loadLagMilliseconds;
    const firstHiddenIndex = samples.findIndex((entry) => entry.at > visibleUntil);
    const firstRetainedIndex =
      firstHiddenIndex === -1 ? samples.length - 1 : Math.max(0, firstHiddenIndex - 1);
    if (firstRetainedIndex > 0) samples = samples.slice(firstRetainedIndex);
  };

  const batch = createEngineBatch({
    capacity: settings.capacity,
    stepMilliseconds: settings.stepMilliseconds,
    stepMillisecondsPerSequence: settings.stepMillisecondsPerSequence,
    now,
    onChange: recordSample,
  });

  return {
    settings,
    counts,
    faults: createFaultSet<EngineFault>(),
    weights,
    cache,
    batch,
    streams,
    highestFencing: 0,
    reportedLoad: () => {
      dropOldSamples();
      return samples[0] ?? emptySample;
    },
    reset() {
      this.highestFencing = 0;
      weights.clear();
      cache.clear(now());
      batch.clear();
      batch.resume();
      for (const stream of streams.values()) stream.abort();
      streams.clear();
    },
  };
}
