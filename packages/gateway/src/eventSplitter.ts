/** A complete server-sent event. */
export interface StreamEvent {
  /** Bytes of the event, including the terminating blank line. */
  readonly bytes: Buffer;
  /** Numeric id of the event; `null` if it has none. */
  readonly id: number | null;
}

/** Splits the body of an event stream into complete events. */
export interface EventSplitter {
  push(bytes: Buffer): readonly StreamEvent[];
  /** Number of bytes of the incomplete last event. */
  readonly pendingBytes: number;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const idPattern = /^id:[ ]?(\d+)\r?$/mu;

/** Offset after the first blank line; -1 if there is none. */
function findEventEnd(bytes: Buffer): number {
  let offset = bytes.indexOf(LINE_FEED);
  while (offset >= 0) {
    const next = bytes[offset + 1];
    if (next === LINE_FEED) return offset + 2;
    if (next === CARRIAGE_RETURN && bytes[offset + 2] === LINE_FEED) return offset + 3;
    offset = bytes.indexOf(LINE_FEED, offset + 1);
  }
  return -1;
}

function parseEventId(bytes: Buffer): number | null {
  const match = idPattern.exec(bytes.toString('latin1'));
  return match?.[1] === undefined ? null : Number(match[1]);
}

/** Creates a splitter for the body of one answer. */
export function createEventSplitter(): EventSplitter {
  let pending: Buffer = Buffer.alloc(0);
  return {
    get pendingBytes() {
      return pending.length;
    },
    push: (bytes) => {
      pending = pending.length === 0 ? bytes : Buffer.concat([pending, bytes]);
      const events: StreamEvent[] = [];
      for (let end = findEventEnd(pending); end >= 0; end = findEventEnd(pending)) {
        const event = pending.subarray(0, end);
        events.push({ bytes: event, id: parseEventId(event) });
        pending = pending.subarray(end);
      }
      return events;
    },
  };
}
