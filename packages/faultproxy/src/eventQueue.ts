import type { Milliseconds, TimeSource } from '@burdockrail/common/timeSource.js';

/** Runs actions in the order of their due times. */
export interface EventQueue {
  /** Runs an action at a time; the action gets its due time, also when it runs late. */
  at(due: Milliseconds, action: (due: Milliseconds) => void): void;
  /** Forgets all actions. */
  clear(): void;
}

/** Time by which an action may run early, as timers do not wake up for less than a millisecond. */
const EARLY_MILLISECONDS = 0.25;

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
  let running = false;

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
    clearTimeout(timer);
    timer = undefined;
    running = true;
    const until = time.now() + EARLY_MILLISECONDS;
    for (let next = heap[0]; next !== undefined && next.due <= until; next = heap[0]) {
      pop();
      next.action(next.due);
    }
    running = false;
    schedule();
  };

  const schedule = (): void => {
    const next = heap[0];
    if (next === undefined) return;
    timer = setTimeout(run, Math.max(0, next.due - time.now()));
  };

  return {
    at: (due, action) => {
      sequence += 1;
      const event = { due, sequence, action };
      push(event);
      if (running || heap[0] !== event) return;
      if (due <= time.now() + EARLY_MILLISECONDS) {
        run();
        return;
      }
      clearTimeout(timer);
      schedule();
    },
    clear: () => {
      heap.length = 0;
      clearTimeout(timer);
      timer = undefined;
    },
  };
}
