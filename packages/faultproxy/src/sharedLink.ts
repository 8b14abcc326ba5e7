import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { EventQueue } from './eventQueue.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Transmission time that one flow gets per round, in milliseconds, and its minimum in bytes. */
const QUANTUM_MILLISECONDS = 2;
const MINIMUM_QUANTUM_BYTES = 1_024;

/** Called with the time at which a slice has been transmitted. */
export type SliceCallback = (at: Milliseconds) => void;

/** A link of limited rate that its flows share evenly. */
export interface SharedLink {
  readonly bytesPerSecond: number;
  /** Queues one slice of a flow for transmission; slices of one flow keep their order. */
  submit(flow: object, bytes: number, now: Milliseconds, onTransmitted: SliceCallback): void;
}

interface QueuedSlice {
  readonly bytes: number;
  readonly onTransmitted: SliceCallback;
}

/** Number of bytes that a flow may send per round. */
function quantumBytes(bytesPerSecond: number): number {
  const bytes = (bytesPerSecond * QUANTUM_MILLISECONDS) / MILLISECONDS_PER_SECOND;
  return Math.max(MINIMUM_QUANTUM_BYTES, bytes);
}

/**
 * Creates a link that serves its waiting flows in round-robin order.
 *
 * @remarks
 * The quantum per round is counted in bytes, not in slices, so that a flow of many short messages
 * gets the same share as one of full slices.
 */
export function createSharedLink(bytesPerSecond: number, events: EventQueue): SharedLink {
  /** Queued slices by flow; the next flow to serve comes first. */
  const slicesByFlow = new Map<object, QueuedSlice[]>();
  const quantum = quantumBytes(bytesPerSecond);
  let isBusy = false;
  let freeAt = Number.NEGATIVE_INFINITY;

  const takeQuantum = (slices: QueuedSlice[]): readonly QueuedSlice[] => {
    let bytes = 0;
    const firstExcessIndex = slices.findIndex((slice) => {
      bytes += slice.bytes;
      return bytes > quantum;
    });
    const count = firstExcessIndex === -1 ? slices.length : Math.max(1, firstExcessIndex);
    return slices.splice(0, count);
  };

  const transmitNextFlow = (now: Milliseconds): void => {
    const next = slicesByFlow.entries().next().value;
    if (next === undefined) {
      isBusy = false;
      return;
    }
    const [flow, slices] = next;
    slicesByFlow.delete(flow);
    const selected = takeQuantum(slices);
    if (slices.length > 0) slicesByFlow.set(flow, slices);
    transmit(selected, now);
  };

  const transmit = (slices: readonly QueuedSlice[], now: Milliseconds): void => {
    isBusy = true;
    let at = now;
    for (const [index, slice] of slices.entries()) {
      at += (slice.bytes / bytesPerSecond) * MILLISECONDS_PER_SECOND;
      freeAt = at;
      const isLast = index === slices.length - 1;
      events.schedule(at, (transmittedAt) => {
        if (isLast) transmitNextFlow(transmittedAt);
        slice.onTransmitted(transmittedAt);
      });
    }
  };

  return {
    bytesPerSecond,
    submit: (flow, bytes, now, onTransmitted) => {
      const slice = { bytes, onTransmitted };
      if (!isBusy) {
        // A slice that is overdue when it is submitted leaves the link idle at once.
        transmit([slice], Math.max(now, freeAt));
        return;
      }
      const slices = slicesByFlow.get(flow);
      if (slices === undefined) slicesByFlow.set(flow, [slice]);
      else slices.push(slice);
    },
  };
}
