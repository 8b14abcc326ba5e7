import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { EventQueue } from './eventQueue.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Called when a slice has passed, with the time at which it did. */
export type SlicePassed = (at: Milliseconds) => void;

/** A link of one rate that several flows share evenly. */
export interface RateBucket {
  readonly bytesPerSecond: number;
  /** Sends one slice of a flow through; slices of one flow keep their order. */
  submit(flow: object, bytes: number, now: Milliseconds, passed: SlicePassed): void;
}

interface WaitingSlice {
  readonly bytes: number;
  readonly passed: SlicePassed;
}

/** Creates a link that serves the flows that wait in turn, one slice each. */
export function createRateBucket(bytesPerSecond: number, events: EventQueue): RateBucket {
  /** Flows in the order of their turns. */
  const waiting = new Map<object, WaitingSlice[]>();
  let busy = false;

  const serveNext = (now: Milliseconds): void => {
    const turn = waiting.entries().next().value;
    if (turn === undefined) {
      busy = false;
      return;
    }
    const [flow, slices] = turn;
    waiting.delete(flow);
    const slice = slices.shift();
    if (slices.length > 0) waiting.set(flow, slices);
    if (slice !== undefined) serve(slice, now);
  };

  const serve = (slice: WaitingSlice, now: Milliseconds): void => {
    busy = true;
    const duration = (slice.bytes / bytesPerSecond) * MILLISECONDS_PER_SECOND;
    events.at(now + duration, (at) => {
      serveNext(at);
      slice.passed(at);
    });
  };

  return {
    bytesPerSecond,
    submit: (flow, bytes, now, passed) => {
      const slice = { bytes, passed };
      if (!busy) {
        serve(slice, now);
        return;
      }
      const slices = waiting.get(flow);
      if (slices === undefined) waiting.set(flow, [slice]);
      else slices.push(slice);
    },
  };
}
