import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** A sequence of tokens that the engine generates or will generate. */
export interface Sequence {
  readonly id: string;
  /** Sequences with a higher priority start first. */
  readonly priority: number;
  readonly length: number;
  /** Called when the sequence starts; returns the duration of the prefill, in milliseconds. */
  readonly prefill: () => number;
  /** Called with the index of each generated token. */
  readonly onToken: (index: number) => void;
  readonly onEnd: () => void;
}

/** Continuous batching: each step generates one token of every running sequence. */
export interface EngineBatch {
  add(sequence: Sequence): void;
  /** Removes a sequence and frees its slot at once. */
  cancel(id: string): void;
  /** Removes all sequences without calling their callbacks. */
  clear(): void;
  /** Stops starting sequences; resolves when all running ones have ended. */
  pause(): Promise<void>;
  resume(): void;
  readonly running: number;
  readonly waiting: number;
}

/** Options of {@link createEngineBatch}. */
export interface EngineBatchOptions {
  readonly capacity: number;
  readonly stepMilliseconds: number;
  /** Time that each running sequence adds to a step. */
  readonly stepMillisecondsPerSequence: number;
  readonly now: () => Milliseconds;
  readonly onChange: () => void;
}

interface RunningSequence {
  readonly sequence: Sequence;
  readonly prefilledAt: Milliseconds;
  nextToken: number;
}

/** Creates an idle batch; a timer runs the steps while a sequence is running. */
export function createEngineBatch(options: EngineBatchOptions): EngineBatch {
  const running = new Map<string, RunningSequence>();
  let waiting: Sequence[] = [];
  let timer: NodeJS.Timeout | undefined;
  let isPaused = false;
  let idleResolvers: (() => void)[] = [];

  const admit = (): void => {
    while (!isPaused && running.size < options.capacity) {
      const best = waiting.reduce<Sequence | undefined>(
        (first, next) => (first === undefined || next.priority > first.priority ? next : first),
        undefined,
      );
      if (best === undefined) return;
      waiting = waiting.filter((sequence) => sequence !== best);
      const prefilledAt = options.now() + best.prefill();
      running.set(best.id, { sequence: best, prefilledAt, nextToken: 0 });
    }
  };

  const generateToken = (entry: RunningSequence, now: Milliseconds): void => {
    if (entry.prefilledAt > now) return;
    const index = entry.nextToken;
    entry.nextToken += 1;
    if (entry.nextToken === entry.sequence.length) running.delete(entry.sequence.id);
    entry.sequence.onToken(index);
    if (entry.nextToken === entry.sequence.length) entry.sequence.onEnd();
  };

  const admitAndSchedule = (): void => {
    admit();
    if (running.size === 0) {
      for (const resolve of idleResolvers) resolve();
      idleResolvers = [];
    }
    options.onChange();
    schedule();
  };

  const step = (): void => {
    timer = undefined;
    const now = options.now();
    for (const entry of [...running.values()]) generateToken(entry, now);
    admitAndSchedule();
  };

  const schedule = (): void => {
    if (timer !== undefined || running.size === 0) return;
    const duration = options.stepMilliseconds + options.stepMillisecondsPerSequence * running.size;
    timer = setTimeout(step, duration);
  };

  return {
    add: (sequence) => {
      waiting.push(sequence);
      admitAndSchedule();
    },
    cancel: (id) => {
      running.delete(id);
      waiting = waiting.filter((sequence) => sequence.id !== id);
      admitAndSchedule();
    },
    clear: () => {
      running.clear();
      waiting = [];
      clearTimeout(timer);
      timer = undefined;
      admitAndSchedule();
    },
    pause: async () => {
      isPaused = true;
      if (running.size === 0) return;
      await new Promise<void>((resolve) => idleResolvers.push(resolve));
    },
    resume: () => {
      isPaused = false;
      admitAndSchedule();
    },
    get running() {
      return running.size;
    },
    get waiting() {
      return waiting.length;
    },
  };
}
