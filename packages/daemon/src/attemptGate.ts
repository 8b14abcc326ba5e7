import { setTimeout as delay } from 'node:timers/promises';

/** Lets attempts through, or holds them for a time while the upstream must be idle. */
export interface AttemptGate {
  /** Attempts that went through and have not left. */
  readonly inside: number;
  /** Waits until the gate is open; false when it stays closed for the time given. */
  enter(waitMilliseconds: number): Promise<boolean>;
  leave(): void;
  /** Closes the gate and resolves when no attempt is inside. */
  close(): Promise<void>;
  open(): void;
}

/** Creates an open gate. */
export function createAttemptGate(): AttemptGate {
  let inside = 0;
  let isClosed = false;
  let opened = Promise.resolve();
  let resolveOpened: () => void = () => undefined;
  let resolveEmpty: () => void = () => undefined;

  return {
    get inside() {
      return inside;
    },
    enter: async (waitMilliseconds) => {
      const abandoned = new AbortController();
      const { signal } = abandoned;
      const timeout = delay(waitMilliseconds, 'timeout' as const, { signal });
      timeout.catch(() => undefined);
      while (isClosed) {
        if ((await Promise.race([opened, timeout])) === 'timeout') return false;
      }
      abandoned.abort();
      inside += 1;
      return true;
    },
    leave: () => {
      inside -= 1;
      if (inside === 0) resolveEmpty();
    },
    close: async () => {
      if (!isClosed) {
        isClosed = true;
        opened = new Promise((resolve) => {
          resolveOpened = resolve;
        });
      }
      if (inside === 0) return;
      await new Promise<void>((resolve) => {
        resolveEmpty = resolve;
      });
    },
    open: () => {
      isClosed = false;
      resolveOpened();
    },
  };
}
