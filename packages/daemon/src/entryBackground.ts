/** Work that goes on after a caller has its answer, such as the storing of an outcome. */
export interface BackgroundWork {
  add(work: Promise<unknown>): void;
  /** Resolves when no such work is left. */
  idle(): Promise<void>;
}

/** Creates an empty set of work. */
export function createBackgroundWork(): BackgroundWork {
  const running = new Set<Promise<unknown>>();
  return {
    add: (work) => {
      const settled = work
        .catch(() => undefined)
        .finally(() => {
          running.delete(settled);
        });
      running.add(settled);
    },
    idle: async () => {
      while (running.size > 0) await Promise.all(running);
    },
  };
}
