import type { TimeSource } from '@burdockrail/common/timeSource.js';
import type { EntryRequest } from './entryRequest.js';
import type { StreamObserver } from './streamAttempt.js';

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
        return answer.write(bytes);
      },
      onDrain: (resume) => {
        answer.onDrain(resume);
      },
    },
  };
}
