/** A server-sent event and its encoded bytes. */
export interface StreamedEvent {
  readonly bytes: Uint8Array;
  /** Number from the `id` field; absent when the event has none. */
  readonly id?: number;
  /** True for the event that ends an answer. */
  readonly isLast: boolean;
}

const ID_LINE = /^id: ?(\d+)$/mu;
const DONE_LINE = /^data: ?\[DONE\]$/mu;

/** Reads the fields of a complete event. */
export function parseEvent(bytes: Buffer): StreamedEvent {
  const text = bytes.toString('utf8').replaceAll('\r', '');
  const id = ID_LINE.exec(text)?.[1];
  const isLast = DONE_LINE.test(text);
  return id === undefined ? { bytes, isLast } : { bytes, isLast, id: Number(id) };
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
