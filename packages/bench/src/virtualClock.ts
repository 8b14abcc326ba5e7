import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Time that moves from one event to the next. */
export interface VirtualClock {
  now(): Milliseconds;
  after(wait: Milliseconds, run: () => void): void;
  /** Runs events in the order of their times until a time. */
  runUntil(end: Milliseconds): void;
}

interface TimedEvent {
  readonly at: Milliseconds;
  readonly order: number;
  readonly run: () => void;
}

function isBefore(left: TimedEvent, right: TimedEvent): boolean {
  return left.at < right.at || (left.at === right.at && left.order < right.order);
}

/** Creates a clock at zero. */
export function createVirtualClock(): VirtualClock {
  // A binary heap: the earliest event is at place 0, the children of place n at 2n+1 and 2n+2.
  const heap: TimedEvent[] = [];
  let now: Milliseconds = 0;
  let order = 0;

  const swapIfBefore = (child: number, parent: number): boolean => {
    const [lower, upper] = [heap[child], heap[parent]];
    if (lower === undefined || upper === undefined || !isBefore(lower, upper)) return false;
    heap[child] = upper;
    heap[parent] = lower;
    return true;
  };

  const push = (event: TimedEvent): void => {
    let place = heap.push(event) - 1;
    for (let parent = (place - 1) >> 1; place > 0 && swapIfBefore(place, parent);) {
      place = parent;
      parent = (place - 1) >> 1;
    }
  };

  const pop = (): TimedEvent | undefined => {
    const first = heap[0];
    const last = heap.pop();
    if (first === undefined || last === undefined || heap.length === 0) return first;
    heap[0] = last;
    for (let place = 0; ;) {
      const [left, right] = [2 * place + 1, 2 * place + 2];
      const [one, other] = [heap[left], heap[right]];
      const least = one !== undefined && other !== undefined && isBefore(other, one) ? right : left;
      if (!swapIfBefore(least, place)) return first;
      place = least;
    }
  };

  return {
    now: () => now,
    after: (wait, run) => {
      order += 1;
      push({ at: now + Math.max(0, wait), order, run });
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
