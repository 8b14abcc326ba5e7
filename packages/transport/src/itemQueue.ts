import type { ResultError } from '@burdockrail/common/outcome.js';

/** Unbounded queue from callbacks to one asynchronous consumer. */
export interface ItemQueue {
  readonly push: (item: unknown) => void;
  /** Ends the queue; earlier items are still delivered, and further calls have no effect. */
  readonly end: (error?: ResultError) => void;
  /** Yields all items in order; throws the error with which the queue ended. */
  items(): AsyncGenerator<unknown, void, undefined>;
}

interface QueueEnd {
  readonly error: ResultError | undefined;
}

/** Creates an empty queue. */
export function createItemQueue(): ItemQueue {
  const items: unknown[] = [];
  const state: { end: QueueEnd | null; wake: () => void } = { end: null, wake: () => undefined };
  return {
    push: (item) => {
      items.push(item);
      state.wake();
    },
    end: (error) => {
      state.end ??= { error };
      state.wake();
    },
    items: async function* () {
      for (;;) {
        while (items.length > 0) yield items.shift();
        if (state.end?.error !== undefined) throw state.end.error;
        if (state.end !== null) return;
        await new Promise<void>((resolve) => {
          state.wake = resolve;
        });
      }
    },
  };
}
