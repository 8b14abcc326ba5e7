import { createByteCollector, type ByteCollectorLimits } from './byteCollector.js';

/** Splits the body of one answer into complete server-sent events. */
export interface EventSplitter {
  /**
   * Passes each event that the bytes complete to `onEvent`, with the blank line that ends it; stops
   * when `onEvent` returns false.
   *
   * @returns false if an event exceeds the limits; nothing is read from then on.
   */
  push(bytes: Uint8Array, onEvent: (event: Buffer) => boolean): boolean;
  /** Returns the blank lines after the last event; `null` if the body ends inside an event. */
  end(): Buffer | null;
  /** Drops the incomplete event. */
  close(): void;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Creates a splitter; the limits hold for each event.
 *
 * @remarks
 * A blank line ends an event only if a line that is not blank precedes it; further blank lines belong
 * to the next event. Each byte is looked at once, so that the work does not depend on how the bytes
 * are cut.
 */
export function createEventSplitter(limits: ByteCollectorLimits): EventSplitter {
  const pending = createByteCollector(limits);
  /** Length of the current line's part that is pending, and whether a carriage return begins it. */
  let lineBytes = 0;
  let beginsWithCarriageReturn = false;
  let hasContent = false;

  const isBlankLine = (bytes: Uint8Array, start: number, end: number): boolean => {
    const length = lineBytes + end - start;
    if (length !== 1) return length === 0;
    return lineBytes === 1 ? beginsWithCarriageReturn : bytes[start] === CARRIAGE_RETURN;
  };

  return {
    push: (bytes, onEvent) => {
      let eventStart = 0;
      let lineStart = 0;
      for (
        let lineEnd = bytes.indexOf(LINE_FEED);
        lineEnd >= 0;
        lineEnd = bytes.indexOf(LINE_FEED, lineStart)
      ) {
        const isBlank = isBlankLine(bytes, lineStart, lineEnd);
        lineStart = lineEnd + 1;
        lineBytes = 0;
        if (!isBlank) hasContent = true;
        if (!isBlank || !hasContent) continue;
        const eventEnd = bytes.subarray(eventStart, lineStart);
        const hasPending = pending.size > 0;
        if (hasPending && !pending.add(eventEnd)) return false;
        eventStart = lineStart;
        hasContent = false;
        const event = hasPending
          ? pending.take()
          : Buffer.from(eventEnd.buffer, eventEnd.byteOffset, eventEnd.length);
        if (!onEvent(event)) return true;
      }
      const line = bytes.subarray(lineStart);
      if (lineBytes === 0) beginsWithCarriageReturn = line[0] === CARRIAGE_RETURN;
      lineBytes += line.length;
      return pending.add(bytes.subarray(eventStart));
    },
    end: () => {
      const isLineBlank = lineBytes === 0 || (lineBytes === 1 && beginsWithCarriageReturn);
      return hasContent || !isLineBlank ? null : pending.take();
    },
    close: () => {
      pending.close();
    },
  };
}
