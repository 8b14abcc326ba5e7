/** Tasks that continue after the caller was answered, such as storing an outcome. */
export interface BackgroundTasks {
  add(task: Promise<unknown>): void;
  /** Resolves when no task is in progress. */
  idle(): Promise<void>;
}

/** Creates an empty set of background tasks. */
export function createBackgroundTasks(): BackgroundTasks {
  const running = new Set<Promise<unknown>>();
  return {
    add: (task) => {
      const settled = task
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
