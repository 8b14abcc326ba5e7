import type { Milliseconds, TimeSource } from '@burdockrail/common/timeSource.js';

/** Runs actions in the order of their due times. */
export interface EventQueue {
  /** Runs an action at a time; the action gets its due time, also when it runs late. */
  at(due: Milliseconds, action: (due: Milliseconds) => void): void;
  /** Forgets all actions. */
  clear(): void;
}

interface QueuedEvent {
  readonly due: Milliseconds;
  readonly sequence: number;
  readonly action: (due: Milliseconds) => void;
}

function isBefore(left: QueuedEvent, right: QueuedEvent): boolean {
  return left.due < right.due || (left.due === right.due && left.sequence < right.sequence);
}

/**
 * Creates an empty queue.
 *
 * @remarks
 * A binary heap under one timer. Because actions are told when they were due, rates and latencies
 * keep to the planned times even when the event loop is late.
 */
export function createEventQueue(time: TimeSource): EventQueue {
  const heap: QueuedEvent[] = [];
  let sequence = 0;
  let timer: NodeJS.Timeout | undefined;

  const push = (event: QueuedEvent): void => {
    let place = heap.length;
    while (place > 0) {
      const parent = (place - 1) >> 1;
      const above = heap[parent];
      if (above === undefined || !isBefore(event, above)) break;
      heap[place] = above;
      place = parent;
    }
    heap[place] = event;
  };

  const earlierChild = (place: number): number => {
    const left = 2 * place + 1;
    const leftEvent = heap[left];
    const rightEvent = heap[left + 1];
    if (leftEvent === undefined || rightEvent === undefined) return left;
    return isBefore(rightEvent, leftEvent) ? left + 1 : left;
  };

  const pop = (): void => {
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    let place = 0;
    for (;;) {
      const childPlace = earlierChild(place);
      const child = heap[childPlace];
      if (child === undefined || !isBefore(child, last)) break;
      heap[place] = child;
      place = childPlace;
    }
    heap[place] = last;
  };

  const run = (): void => {
    timer = undefined;
    const now = time.now();
    for (let next = heap[0]; next !== undefined && next.due <= now; next = heap[0]) {
      pop();
      next.action(next.due);
    }
    schedule();
  };

  const schedule = (): void => {
    const next = heap[0];
    if (timer !== undefined || next === undefined) return;
    timer = setTimeout(run, Math.max(0, next.due - time.now()));
  };

  return {
    at: (due, action) => {
      sequence += 1;
      const event = { due, sequence, action };
      push(event);
      if (heap[0] === event) {
        clearTimeout(timer);
        timer = undefined;
      }
      schedule();
    },
    clear: () => {
      heap.length = 0;
      clearTimeout(timer);
      timer = undefined;
    },
  };
}
