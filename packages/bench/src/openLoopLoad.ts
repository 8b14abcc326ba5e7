import { setTimeout as delay } from 'node:timers/promises';
import { createSeededRandom, type SeededRandom } from '@burdockrail/common/seededRandom.js';
import { monotonicClock } from '@burdockrail/common/timeSource.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** An arrival process that does not wait for answers. */
export interface OpenLoopOptions {
  readonly requestsPerSecond: number;
  readonly seed: number;
  /** No request arrives after this is aborted; those in progress are waited for. */
  readonly stop: AbortSignal;
  /** Sends the request of one arrival. */
  readonly send: (number: number, random: SeededRandom) => Promise<void>;
}

/** A running load. */
export interface OpenLoopLoad {
  /** Resolves when all arrivals have been answered. */
  readonly finished: Promise<void>;
}

/** Starts arrivals with exponentially distributed gaps, fixed by the seed. */
export function startOpenLoop(options: OpenLoopOptions): OpenLoopLoad {
  const random = createSeededRandom(options.seed);
  const inProgress = new Set<Promise<void>>();

  const arrive = (number: number): void => {
    const request = options.send(number, random).finally(() => inProgress.delete(request));
    inProgress.add(request);
  };

  const run = async (): Promise<void> => {
    const stopped = (): boolean => options.stop.aborted;
    let due = monotonicClock.now();
    for (let number = 0; !stopped(); number += 1) {
      const gap = -Math.log(1 - random.next()) / options.requestsPerSecond;
      due += gap * MILLISECONDS_PER_SECOND;
      const wait = due - monotonicClock.now();
      if (wait > 1) await delay(wait, undefined, { signal: options.stop }).catch(() => undefined);
      if (!stopped()) arrive(number);
    }
    await Promise.all(inProgress);
  };
  return { finished: run() };
}
