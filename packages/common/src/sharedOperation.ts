/** Options of {@link createSharedOperation}. */
export interface SharedOperationOptions {
  /** Operations that run at the same time; further callers share the next one. */
  readonly maximumConcurrent: number;
}

/**
 * Returns a function that runs an operation, and lets callers share one while several are running.
 *
 * @remarks
 * Each caller gets the result of an operation that began after its call, so that what it reads is
 * not older than the call.
 */
export function createSharedOperation<Value>(
  run: () => Promise<Value>,
  { maximumConcurrent }: SharedOperationOptions,
): () => Promise<Value> {
  const running = new Set<Promise<Value>>();
  let next: Promise<Value> | null = null;

  const start = async (): Promise<Value> => {
    const operation = run();
    running.add(operation);
    try {
      return await operation;
    } finally {
      running.delete(operation);
    }
  };
  const startNext = async (): Promise<Value> => {
    await Promise.race(running).catch(() => undefined);
    next = null;
    return start();
  };
  return async () => {
    if (running.size < maximumConcurrent) return start();
    next ??= startNext();
    return next;
  };
}
