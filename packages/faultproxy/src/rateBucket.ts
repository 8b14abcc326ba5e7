import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { EventQueue } from './eventQueue.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Longest turn of one flow, in milliseconds, and the bytes that it has in any case. */
const TURN_MILLISECONDS = 2;
const SMALLEST_TURN_BYTES = 1_024;

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

/** Bytes that a flow may send in one turn. */
function turnBytes(bytesPerSecond: number): number {
  const bytes = (bytesPerSecond * TURN_MILLISECONDS) / MILLISECONDS_PER_SECOND;
  return Math.max(SMALLEST_TURN_BYTES, bytes);
}

/**
 * Creates a link that serves the flows that wait in turn.
 *
 * @remarks
 * A turn is bounded by bytes, not by slices: a flow of many short messages gets the same share as
 * one of full slices.
 */
export function createRateBucket(bytesPerSecond: number, events: EventQueue): RateBucket {
  /** Flows in the order of their turns. */
  const waiting = new Map<object, WaitingSlice[]>();
  const turn = turnBytes(bytesPerSecond);
  let busy = false;

  const takeTurn = (slices: WaitingSlice[]): readonly WaitingSlice[] => {
    let bytes = 0;
    const fitting = slices.findIndex((slice) => {
      bytes += slice.bytes;
      return bytes > turn;
    });
    const count = fitting === -1 ? slices.length : Math.max(1, fitting);
    return slices.splice(0, count);
  };

  const serveNext = (now: Milliseconds): void => {
    const next = waiting.entries().next().value;
    if (next === undefined) {
      busy = false;
      return;
    }
    const [flow, slices] = next;
    waiting.delete(flow);
    const taken = takeTurn(slices);
    if (slices.length > 0) waiting.set(flow, slices);
    serve(taken, now);
  };

  const serve = (slices: readonly WaitingSlice[], now: Milliseconds): void => {
    busy = true;
    let at = now;
    for (const [index, slice] of slices.entries()) {
      at += (slice.bytes / bytesPerSecond) * MILLISECONDS_PER_SECOND;
      const last = index === slices.length - 1;
      events.at(at, (passedAt) => {
        if (last) serveNext(passedAt);
        slice.passed(passedAt);
      });
    }
  };

  return {
    bytesPerSecond,
    submit: (flow, bytes, now, passed) => {
      const slice = { bytes, passed };
      if (!busy) {
        serve([slice], now);
        return;
      }
      const slices = waiting.get(flow);
      if (slices === undefined) waiting.set(flow, [slice]);
      else slices.push(slice);
    },
  };
}
