import type { Milliseconds, TimeSource } from '@burdockrail/common/timeSource.js';

/** Runs actions in the order of their due times. */
export interface EventQueue {
  /** Schedules an action; it receives its due time, even if it runs later. */
  schedule(due: Milliseconds, action: (due: Milliseconds) => void): void;
  /** Removes all actions. */
  clear(): void;
}

/** Time by which an action may run early, since timers have a resolution of one millisecond. */
const EARLY_TOLERANCE_MILLISECONDS = 0.25;

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
 * A binary heap with a single timer. As actions receive their due times, rates and latencies stay
 * accurate even if the event loop is late.
 */
export function createEventQueue(time: TimeSource): EventQueue {
  const heap: QueuedEvent[] = [];
  let sequence = 0;
  let timer: NodeJS.Timeout | undefined;
  let isRunning = false;

  const push = (event: QueuedEvent): void => {
    let index = heap.length;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const parentEvent = heap[parent];
      if (parentEvent === undefined || !isBefore(event, parentEvent)) break;
      heap[index] = parentEvent;
      index = parent;
    }
    heap[index] = event;
  };

  const earlierChild = (index: number): number => {
    const left = 2 * index + 1;
    const leftEvent = heap[left];
    const rightEvent = heap[left + 1];
    if (leftEvent === undefined || rightEvent === undefined) return left;
    return isBefore(rightEvent, leftEvent) ? left + 1 : left;
  };

  const pop = (): void => {
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    let index = 0;
    for (;;) {
      const childIndex = earlierChild(index);
      const child = heap[childIndex];
      if (child === undefined || !isBefore(child, last)) break;
      heap[index] = child;
      index = childIndex;
    }
    heap[index] = last;
  };

  const runDueEvents = (): void => {
    clearTimeout(timer);
    timer = undefined;
    isRunning = true;
    const until = time.now() + EARLY_TOLERANCE_MILLISECONDS;
    for (let next = heap[0]; next !== undefined && next.due <= until; next = heap[0]) {
      pop();
      next.action(next.due);
    }
    isRunning = false;
    setTimer();
  };

  const setTimer = (): void => {
    const next = heap[0];
    if (next === undefined) return;
    timer = setTimeout(runDueEvents, Math.max(0, next.due - time.now()));
  };

  return {
    schedule: (due, action) => {
      sequence += 1;
      const event = { due, sequence, action };
      push(event);
      if (isRunning || heap[0] !== event) return;
      if (due <= time.now() + EARLY_TOLERANCE_MILLISECONDS) {
        runDueEvents();
        return;
      }
      clearTimeout(timer);
      setTimer();
    },
    clear: () => {
      heap.length = 0;
      clearTimeout(timer);
      timer = undefined;
    },
  };
}
