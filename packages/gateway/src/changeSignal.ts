import { timerDelay } from '@burdockrail/common/timerDelay.js';

/** Wakes all waiters when a change occurs. */
export interface ChangeSignal {
  notify(): void;
  /** Resolves at the next change, after the given time, or when the signal aborts. */
  wait(milliseconds: number, signal: AbortSignal): Promise<void>;
}

/** Creates a signal without waiters. */
export function createChangeSignal(): ChangeSignal {
  let waiters = new Set<() => void>();
  return {
    notify: () => {
      const pending = waiters;
      waiters = new Set();
      for (const wake of pending) wake();
    },
    wait: async (milliseconds, signal) =>
      new Promise((resolve) => {
        const wake = (): void => {
          clearTimeout(timer);
          signal.removeEventListener('abort', wake);
          waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, timerDelay(milliseconds));
        signal.addEventListener('abort', wake, { once: true });
        waiters.add(wake);
        if (signal.aborted) wake();
      }),
  };
}
