import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** A sequence of tokens that the engine generates or will generate. */
export interface Sequence {
  readonly id: string;
  /** Higher goes first. */
  readonly priority: number;
  readonly length: number;
  /** Time that the prompt takes before the first token, in milliseconds. */
  readonly prefill: () => number;
  /** Called with the number of each token. */
  readonly onToken: (index: number) => void;
  readonly onEnd: () => void;
}

/** Continuous batching: all running sequences gain one token a step. */
export interface EngineBatch {
  add(sequence: Sequence): void;
  /** Ends a sequence early; its slot is free at once. */
  cancel(id: string): void;
  /** Ends all sequences without a word to them. */
  clear(): void;
  /** Holds back waiting sequences; resolves when no sequence runs. */
  pause(): Promise<void>;
  resume(): void;
  readonly running: number;
  readonly waiting: number;
}

/** Options of {@link createEngineBatch}. */
export interface EngineBatchOptions {
  readonly capacity: number;
  readonly stepMilliseconds: number;
  /** What each running sequence adds to a step. */
  readonly stepMillisecondsPerSequence: number;
  readonly now: () => Milliseconds;
  readonly onChange: () => void;
}

interface RunningSequence {
  readonly sequence: Sequence;
  readonly prefilledAt: Milliseconds;
  next: number;
}

/** Creates an idle batch; it steps by timer as long as a sequence runs. */
export function createEngineBatch(options: EngineBatchOptions): EngineBatch {
  const running = new Map<string, RunningSequence>();
  let waiting: Sequence[] = [];
  let timer: NodeJS.Timeout | undefined;
  let paused = false;
  let idleWaiters: (() => void)[] = [];

  const admit = (): void => {
    while (!paused && running.size < options.capacity) {
      const best = waiting.reduce<Sequence | undefined>(
        (found, next) => (found === undefined || next.priority > found.priority ? next : found),
        undefined,
      );
      if (best === undefined) return;
      waiting = waiting.filter((sequence) => sequence !== best);
      const prefilledAt = options.now() + best.prefill();
      running.set(best.id, { sequence: best, prefilledAt, next: 0 });
    }
  };

  const advance = (entry: RunningSequence, now: Milliseconds): void => {
    if (entry.prefilledAt > now) return;
    const index = entry.next;
    entry.next += 1;
    if (entry.next === entry.sequence.length) running.delete(entry.sequence.id);
    entry.sequence.onToken(index);
    if (entry.next === entry.sequence.length) entry.sequence.onEnd();
  };

  const settle = (): void => {
    admit();
    if (running.size === 0) {
      for (const resolve of idleWaiters) resolve();
      idleWaiters = [];
    }
    options.onChange();
    schedule();
  };

  const step = (): void => {
    timer = undefined;
    const now = options.now();
    for (const entry of [...running.values()]) advance(entry, now);
    settle();
  };

  const schedule = (): void => {
    if (timer !== undefined || running.size === 0) return;
    const duration = options.stepMilliseconds + options.stepMillisecondsPerSequence * running.size;
    timer = setTimeout(step, duration);
  };

  return {
    add: (sequence) => {
      waiting.push(sequence);
      settle();
    },
    cancel: (id) => {
      running.delete(id);
      waiting = waiting.filter((sequence) => sequence.id !== id);
      settle();
    },
    clear: () => {
      running.clear();
      waiting = [];
      clearTimeout(timer);
      timer = undefined;
      settle();
    },
    pause: async () => {
      paused = true;
      if (running.size === 0) return;
      await new Promise<void>((resolve) => idleWaiters.push(resolve));
    },
    resume: () => {
      paused = false;
      settle();
    },
    get running() {
      return running.size;
    },
    get waiting() {
      return waiting.length;
    },
  };
}
