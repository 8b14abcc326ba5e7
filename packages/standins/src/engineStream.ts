import type { ServerResponse } from 'node:http';

/** Streamed answer to one request; readers can disconnect and reconnect during generation. */
export interface EngineStream {
  readonly id: string;
  /** Appends an event and sends it to all readers. */
  push(data: string): void;
  /** Sends nothing for a time, in milliseconds; later events are sent after it. */
  holdBack(milliseconds: number): void;
  /** Sends the end of the stream to all readers. */
  finish(): void;
  /** Closes the connections of all readers without an end of the stream. */
  abort(): void;
  /** Sends a reader the events after `lastEventId` and all later ones. */
  addReader(response: ServerResponse, lastEventId: number): void;
  readonly readerCount: number;
  readonly finished: boolean;
}

const END_OF_STREAM = 'data: [DONE]\n\n';

/**
 * Creates a stream without events.
 *
 * @param onLastReaderLeft - called when the last reader disconnects before the end.
 */
export function createEngineStream(id: string, onLastReaderLeft: () => void): EngineStream {
  const events: string[] = [];
  const readers = new Set<ServerResponse>();
  const heldActions: (() => void)[] = [];
  let isHeldBack = false;
  let finished = false;
  const actUnlessHeldBack = (action: () => void): void => {
    if (isHeldBack) heldActions.push(action);
    else action();
  };
  return {
    id,
    push: (data) => {
      actUnlessHeldBack(() => {
        const event = `id: ${events.length}\ndata: ${data}\n\n`;
        events.push(event);
        for (const reader of readers) reader.write(event);
      });
    },
    holdBack: (milliseconds) => {
      isHeldBack = true;
      setTimeout(() => {
        isHeldBack = false;
        for (const action of heldActions.splice(0)) action();
      }, milliseconds).unref();
    },
    finish: () => {
      actUnlessHeldBack(() => {
        finished = true;
        for (const reader of readers) reader.end(END_OF_STREAM);
        readers.clear();
      });
    },
    abort: () => {
      for (const reader of readers) reader.destroy();
      readers.clear();
    },
    addReader: (response, lastEventId) => {
      for (const event of events.slice(lastEventId + 1)) response.write(event);
      if (finished) {
        response.end(END_OF_STREAM);
        return;
      }
      readers.add(response);
      response.once('close', () => {
        if (readers.delete(response) && readers.size === 0) onLastReaderLeft();
      });
    },
    get readerCount() {
      return readers.size;
    },
    get finished() {
      return finished;
    },
  };
}
