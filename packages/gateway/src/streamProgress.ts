import type { TimeSource } from '@burdockrail/common/timeSource.js';
import type { EntryRequest } from './entryRequest.js';
import type { StreamObserver } from './streamAttempt.js';

/**
 * Most events of one read that are written together; a write for each of a flood of tiny events would
 * take many times their size.
 */
const MAXIMUM_UNWRITTEN_EVENTS = 256;

/** Events forwarded to the caller so far; prevents duplicates when a stream is resumed. */
export interface StreamProgress {
  readonly lastEventId: number | null;
  readonly events: number;
  /** False for an event that the caller has received already. */
  isNew(id: number | null): boolean;
  /** Forwards what the engines of the stream send. */
  readonly caller: Omit<StreamObserver, 'silent'>;
}

/** Creates the progress of a stream of which nothing has been forwarded. */
export function createStreamProgress(
  { answer, trace, arrivedAt }: EntryRequest,
  time: TimeSource,
): StreamProgress {
  let lastEventId: number | null = null;
  let events = 0;
  let lastEventAt: number | null = null;
  let unwritten: Buffer[] = [];
  /** False once a write since the last flush has met backpressure. */
  let hasRoom = true;
  const writeEvents = (): void => {
    const [first] = unwritten;
    if (first === undefined) return;
    const bytes = unwritten.length === 1 ? first : Buffer.concat(unwritten);
    unwritten = [];
    if (!answer.write(bytes)) hasRoom = false;
  };
  return {
    get lastEventId() {
      return lastEventId;
    },
    get events() {
      return events;
    },
    // A resuming engine repeats no events; a wrong id must still not reach the caller.
    isNew: (id) => id === null || lastEventId === null || id > lastEventId,
    caller: {
      head: (status, rawHeaders) => {
        trace.firstByteMilliseconds ??= time.now() - arrivedAt;
        answer.sendHeaders(status, rawHeaders);
      },
      event: (bytes, id) => {
        lastEventId = id ?? lastEventId;
        events += 1;
        const eventAt = time.now();
        const pause = eventAt - (lastEventAt ?? eventAt);
        trace.longestPauseMilliseconds = Math.max(trace.longestPauseMilliseconds, pause);
        lastEventAt = eventAt;
        unwritten.push(bytes);
        if (unwritten.length === MAXIMUM_UNWRITTEN_EVENTS) writeEvents();
      },
      flush: () => {
        writeEvents();
        const mayGoOn = hasRoom;
        hasRoom = true;
        return mayGoOn;
      },
      onDrain: (resume) => {
        answer.onDrain(resume);
      },
    },
  };
}
