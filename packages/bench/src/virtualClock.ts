import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Simulated clock that advances from one scheduled event to the next. */
export interface VirtualClock {
  now(): Milliseconds;
  schedule(wait: Milliseconds, run: () => void): void;
  /** Runs all events due up to a time, in order. */
  runUntil(end: Milliseconds): void;
}

interface TimedEvent {
  readonly at: Milliseconds;
  readonly sequence: number;
  readonly run: () => void;
}

function isBefore(left: TimedEvent, right: TimedEvent): boolean {
  return left.at < right.at || (left.at === right.at && left.sequence < right.sequence);
}

/** Creates a clock that starts at zero. */
export function createVirtualClock(): VirtualClock {
  // A binary heap: the earliest event is at index 0, the children of index n at 2n+1 and 2n+2.
  const heap: TimedEvent[] = [];
  let now: Milliseconds = 0;
  let sequence = 0;

  const swapIfBefore = (child: number, parent: number): boolean => {
    const [childEvent, parentEvent] = [heap[child], heap[parent]];
    if (childEvent === undefined || parentEvent === undefined || !isBefore(childEvent, parentEvent))
      return false;
    heap[child] = parentEvent;
    heap[parent] = childEvent;
    return true;
  };

  const push = (event: TimedEvent): void => {
    let index = heap.push(event) - 1;
    for (let parent = (index - 1) >> 1; index > 0 && swapIfBefore(index, parent);) {
      index = parent;
      parent = (index - 1) >> 1;
    }
  };

  const pop = (): TimedEvent | undefined => {
    const first = heap[0];
    const last = heap.pop();
    if (first === undefined || last === undefined || heap.length === 0) return first;
    heap[0] = last;
    for (let index = 0; ;) {
      const [left, right] = [2 * index + 1, 2 * index + 2];
      const [leftEvent, rightEvent] = [heap[left], heap[right]];
      const earliest =
        leftEvent !== undefined && rightEvent !== undefined && isBefore(rightEvent, leftEvent)
          ? right
          : left;
      if (!swapIfBefore(earliest, index)) return first;
      index = earliest;
    }
  };

  return {
    now: () => now,
    schedule: (wait, run) => {
      sequence += 1;
      push({ at: now + Math.max(0, wait), sequence, run });
    },
    runUntil: (end) => {
      while ((heap[0]?.at ?? Number.POSITIVE_INFINITY) <= end) {
        const event = pop();
        if (event === undefined) break;
        now = event.at;
        event.run();
      }
      now = end;
    },
  };
}
