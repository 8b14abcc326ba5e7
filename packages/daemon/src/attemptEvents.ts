/** One server-sent event with the bytes that carried it. */
export interface StreamedEvent {
  readonly bytes: Uint8Array;
  /** Number from the `id` field; absent when the event has none. */
  readonly id?: number;
  /** True for the event that ends an answer. */
  readonly last: boolean;
}

/** Splits a byte stream into whole server-sent events. */
export interface EventSplitter {
  /** Takes the next bytes and returns the events that they complete. */
  push(bytes: Uint8Array): readonly StreamedEvent[];
}

const EVENT_END = '\n\n';
const ID_LINE = /^id: ?(\d+)$/mu;
const LAST_LINE = /^data: ?\[DONE\]$/mu;

function parseEvent(bytes: Buffer): StreamedEvent {
  const text = bytes.toString('utf8').replaceAll('\r', '');
  const id = ID_LINE.exec(text)?.[1];
  const last = LAST_LINE.test(text);
  return id === undefined ? { bytes, last } : { bytes, last, id: Number(id) };
}

/** Creates a splitter for one answer; bytes of an event that is never completed are dropped. */
export function createEventSplitter(): EventSplitter {
  let rest: Buffer = Buffer.alloc(0);
  return {
    push: (bytes) => {
      rest = Buffer.concat([rest, bytes]);
      const events: StreamedEvent[] = [];
      for (let end = rest.indexOf(EVENT_END); end >= 0; end = rest.indexOf(EVENT_END)) {
        const next = end + EVENT_END.length;
        events.push(parseEvent(rest.subarray(0, next)));
        rest = rest.subarray(next);
      }
      return events;
    },
  };
}

/** What to do with an event of an answer that may have been resumed. */
export type EventVerdict = 'relay' | 'drop' | 'gap';

/** Judges an event by the number of the last one relayed; -1 stands for none. */
export function judgeEvent(event: StreamedEvent, lastId: number): EventVerdict {
  if (event.id === undefined) return 'relay';
  if (event.id <= lastId) return 'drop';
  return event.id === lastId + 1 ? 'relay' : 'gap';
}
