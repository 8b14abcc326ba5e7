import type { ResultError } from '@burdockrail/common/outcome.js';

/** Items on their way from callbacks to one consumer. */
export interface ItemQueue {
  readonly push: (item: unknown) => void;
  /** Ends the queue; items pushed before are still consumed, later ends change nothing. */
  readonly end: (error?: ResultError) => void;
  /** All items in order; throws the error that the queue ended with. */
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
