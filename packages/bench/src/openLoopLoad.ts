import { setTimeout as delay } from 'node:timers/promises';
import { createSeededRandom, type SeededRandom } from '@burdockrail/common/seededRandom.js';
import { monotonicClock } from '@burdockrail/common/timeSource.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Options of an open-loop load, whose arrivals do not wait for answers. */
export interface OpenLoopOptions {
  readonly requestsPerSecond: number;
  readonly seed: number;
  /** Aborting it stops new arrivals; requests in progress are completed. */
  readonly stop: AbortSignal;
  /** Sends one request. */
  readonly send: (number: number, random: SeededRandom) => Promise<void>;
}

/** A running load. */
export interface OpenLoopLoad {
  /** Resolves after the stop, when all requests have completed. */
  readonly finished: Promise<void>;
}

/** Starts Poisson arrivals: exponentially distributed gaps, determined by the seed. */
export function startOpenLoop(options: OpenLoopOptions): OpenLoopLoad {
  const random = createSeededRandom(options.seed);
  const inProgress = new Set<Promise<void>>();

  const sendRequest = (number: number): void => {
    const request = options.send(number, random).finally(() => inProgress.delete(request));
    inProgress.add(request);
  };

  const run = async (): Promise<void> => {
    const stopped = (): boolean => options.stop.aborted;
    let dueAt = monotonicClock.now();
    for (let number = 0; !stopped(); number += 1) {
      const gap = -Math.log(1 - random.next()) / options.requestsPerSecond;
      dueAt += gap * MILLISECONDS_PER_SECOND;
      const wait = dueAt - monotonicClock.now();
      if (wait > 1) await delay(wait, undefined, { signal: options.stop }).catch(() => undefined);
      if (!stopped()) sendRequest(number);
    }
    await Promise.all(inProgress);
  };
  return { finished: run() };
}
