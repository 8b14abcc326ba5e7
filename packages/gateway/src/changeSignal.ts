/** Wakes those who wait for a change. */
export interface ChangeSignal {
  notify(): void;
  /** Resolves at the next change, when the time is over or when the signal aborts. */
  wait(milliseconds: number, signal: AbortSignal): Promise<void>;
}

/** Creates a signal that nobody waits for. */
export function createChangeSignal(): ChangeSignal {
  let waiters = new Set<() => void>();
  return {
    notify: () => {
      const wakers = waiters;
      waiters = new Set();
      for (const wake of wakers) wake();
    },
    wait: async (milliseconds, signal) =>
      new Promise((resolve) => {
        const wake = (): void => {
          clearTimeout(timer);
          signal.removeEventListener('abort', wake);
          waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, milliseconds);
        signal.addEventListener('abort', wake, { once: true });
        waiters.add(wake);
        if (signal.aborted) wake();
      }),
  };
}
