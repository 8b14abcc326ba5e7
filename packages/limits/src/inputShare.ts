import type { Milliseconds } from '@burdockrail/common/timeSource.js';

/** Work of parsing and dispatching a request, in units of that of a small part of a body. */
const REQUEST_UNITS = 32;

/** Bytes of a head that make as much work as a small part of a body. */
const HEAD_BYTES_A_UNIT = 32;

/** Head of a request up to which it goes before longer ones, in bytes: one slice. */
const LIGHT_HEAD_BYTES = 1_024;

/** Size below which a part of a body costs more work than its bytes, in bytes. */
const SMALL_PART_BYTES = 512;

/** Units up to which a connection has its input processed as it comes, in each window. */
const LIGHT_UNITS = 256;

const WINDOW_MILLISECONDS = 1_000;

/** Units of one slice of input below and above which the next one is larger or smaller. */
const FEW_UNITS = 256;
const MANY_UNITS = 1_024;

/** Size of the first slice, in bytes: most heads fit, and few requests. */
const SMALLEST_SLICE_BYTES = 1_024;

/** Size of the largest slice, in bytes; it may hold some hundred requests. */
const LARGEST_SLICE_BYTES = 16_384;

/** Decides how much of a client's input is processed at a time. */
export interface InputShare {
  readonly sliceBytes: number;
  /** Counts a request; `isAhead` tells that it was sent before the answer to the last one. */
  countRequest(isAhead: boolean): void;
  countBodyPart(bytes: number): void;
  /**
   * Called after each slice with its size; adapts the size of the next one and returns the units of
   * this one.
   */
  sliceProcessed(bytes: number, now: Milliseconds): number;
  /** True if the connection takes more than the share that is processed as it comes. */
  isHeavy(now: Milliseconds): boolean;
  /** True if small parts of bodies make it so. */
  readonly hasSmallParts: boolean;
}

/**
 * Creates the share of one connection.
 *
 * @remarks
 * One read of a socket may hold thousands of requests or of chunks, whose work a bound on bytes
 * doesn't bound.
 */
export function createInputShare(): InputShare {
  let sliceBytes = SMALLEST_SLICE_BYTES;
  /** Work of the slice in progress; `aheadUnits` only that of requests sent ahead. */
  let requestUnits = 0;
  let aheadUnits = 0;
  let smallParts = 0;
  let hasParts = false;
  /** Bytes since the last request or part of a body: those of a head that is not whole. */
  let headBytes = 0;
  let unitsInWindow = 0;
  let smallPartsInWindow = 0;
  let windowStartedAt = Number.NEGATIVE_INFINITY;

  const startWindow = (now: Milliseconds): void => {
    if (now - windowStartedAt < WINDOW_MILLISECONDS) return;
    windowStartedAt = now;
    unitsInWindow = 0;
    smallPartsInWindow = 0;
  };
  return {
    get sliceBytes() {
      return sliceBytes;
    },
    countRequest: (isAhead) => {
      requestUnits += REQUEST_UNITS;
      if (isAhead) aheadUnits += REQUEST_UNITS;
      headBytes = 0;
      // Behind a request may follow many more.
      sliceBytes = SMALLEST_SLICE_BYTES;
    },
    countBodyPart: (bytes) => {
      hasParts = true;
      if (bytes < SMALL_PART_BYTES) smallParts += 1;
    },
    sliceProcessed: (bytes, now) => {
      const isHead = requestUnits === 0 && !hasParts;
      headBytes = isHead ? headBytes + bytes : 0;
      const headUnits = isHead ? Math.ceil(bytes / HEAD_BYTES_A_UNIT) : 0;
      const units = requestUnits + smallParts + headUnits;
      if (units < FEW_UNITS) sliceBytes = Math.min(sliceBytes * 2, LARGEST_SLICE_BYTES);
      if (units > MANY_UNITS) sliceBytes = Math.max(sliceBytes / 2, SMALLEST_SLICE_BYTES);
      startWindow(now);
      unitsInWindow += aheadUnits + smallParts;
      smallPartsInWindow += smallParts;
      requestUnits = 0;
      aheadUnits = 0;
      smallParts = 0;
      hasParts = false;
      return units;
    },
    isHeavy: (now) => {
      startWindow(now);
      return unitsInWindow > LIGHT_UNITS || headBytes >= LIGHT_HEAD_BYTES;
    },
    get hasSmallParts() {
      return smallPartsInWindow + smallParts > LIGHT_UNITS;
    },
  };
}
