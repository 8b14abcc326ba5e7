import { setTimeout as delay } from 'node:timers/promises';

/** Admits attempts, or makes them wait while the upstream must be idle. */
export interface AttemptGate {
  /** Number of admitted attempts that have not left. */
  readonly activeCount: number;
  /** Waits until the gate is open; resolves with false if the wait times out. */
  enter(waitMilliseconds: number): Promise<boolean>;
  leave(): void;
  /** Closes the gate and resolves when all admitted attempts have left. */
  close(): Promise<void>;
  open(): void;
}

/** Creates an open gate. */
export function createAttemptGate(): AttemptGate {
  let activeCount = 0;
  let isClosed = false;
  let opened = Promise.resolve();
  let resolveOpened: () => void = () => undefined;
  let resolveIdle: () => void = () => undefined;

  return {
    get activeCount() {
      return activeCount;
    },
    enter: async (waitMilliseconds) => {
      const timeoutController = new AbortController();
      const { signal } = timeoutController;
      const timeout = delay(waitMilliseconds, 'timeout' as const, { signal });
      timeout.catch(() => undefined);
      while (isClosed) {
        if ((await Promise.race([opened, timeout])) === 'timeout') return false;
      }
      timeoutController.abort();
      activeCount += 1;
      return true;
    },
    leave: () => {
      activeCount -= 1;
      if (activeCount === 0) resolveIdle();
    },
    close: async () => {
      if (!isClosed) {
        isClosed = true;
        opened = new Promise((resolve) => {
          resolveOpened = resolve;
        });
      }
      if (activeCount === 0) return;
      await new Promise<void>((resolve) => {
        resolveIdle = resolve;
      });
    },
    open: () => {
      isClosed = false;
      resolveOpened();
    },
  };
}
