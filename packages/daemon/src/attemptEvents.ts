/** A server-sent event and its encoded bytes. */
export interface StreamedEvent {
  readonly bytes: Uint8Array;
  /** Number from the `id` field; absent when the event has none. */
  readonly id?: number;
  /** True for the event that ends an answer. */
  readonly isLast: boolean;
}

/** Splits a byte stream into complete server-sent events. */
export interface EventSplitter {
  /** Adds the next bytes and returns the events that they complete. */
  push(bytes: Uint8Array): readonly StreamedEvent[];
}

const EVENT_SEPARATOR = '\n\n';
const ID_LINE = /^id: ?(\d+)$/mu;
const DONE_LINE = /^data: ?\[DONE\]$/mu;

function parseEvent(bytes: Buffer): StreamedEvent {
  const text = bytes.toString('utf8').replaceAll('\r', '');
  const id = ID_LINE.exec(text)?.[1];
  const isLast = DONE_LINE.test(text);
  return id === undefined ? { bytes, isLast } : { bytes, isLast, id: Number(id) };
}

/** Creates a splitter for one answer; the bytes of an incomplete last event are dropped. */
export function createEventSplitter(): EventSplitter {
  let buffered: Buffer = Buffer.alloc(0);
  return {
    push: (bytes) => {
      buffered = Buffer.concat([buffered, bytes]);
      const events: StreamedEvent[] = [];
      for (
        let separatorAt = buffered.indexOf(EVENT_SEPARATOR);
        separatorAt >= 0;
        separatorAt = buffered.indexOf(EVENT_SEPARATOR)
      ) {
        const eventEnd = separatorAt + EVENT_SEPARATOR.length;
        events.push(parseEvent(buffered.subarray(0, eventEnd)));
        buffered = buffered.subarray(eventEnd);
      }
      return events;
    },
  };
}

/**
 * Action for an event of a stream that may have been resumed; `gap` means that events are missing
 * before it.
 */
export type EventAction = 'relay' | 'drop' | 'gap';

/**
 * Decides on an event by the id of the last event relayed, which is -1 before the first.
 *
 * @remarks
 * A text that a resumed upstream sends instead of events, such as an error, has no id; only the
 * event that ends a stream may have none.
 */
export function chooseEventAction(
  event: StreamedEvent,
  lastEventId: number,
  isResumed: boolean,
): EventAction {
  if (event.id === undefined) return isResumed && !event.isLast ? 'gap' : 'relay';
  if (event.id <= lastEventId) return 'drop';
  return event.id === lastEventId + 1 ? 'relay' : 'gap';
}
