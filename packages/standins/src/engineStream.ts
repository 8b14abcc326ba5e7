import type { ServerResponse } from 'node:http';

/** Answer to one request, which readers can leave and join again while it grows. */
export interface EngineStream {
  readonly id: string;
  /** Adds the next event. */
  push(data: string): void;
  /** Says that the answer is whole. */
  finish(): void;
  /** Ends all readers' connections; nothing more is sent. */
  abort(): void;
  /** Sends the events after a number to a reader, and each later one. */
  join(response: ServerResponse, lastEventId: number): void;
  readonly readers: number;
  readonly finished: boolean;
}

const END_OF_STREAM = 'data: [DONE]\n\n';

/** Creates an answer without events. */
export function createEngineStream(id: string, onLeave: () => void): EngineStream {
  const events: string[] = [];
  const readers = new Set<ServerResponse>();
  let finished = false;
  return {
    id,
    push: (data) => {
      const event = `id: ${events.length}\ndata: ${data}\n\n`;
      events.push(event);
      for (const reader of readers) reader.write(event);
    },
    finish: () => {
      finished = true;
      for (const reader of readers) reader.end(END_OF_STREAM);
      readers.clear();
    },
    abort: () => {
      for (const reader of readers) reader.destroy();
      readers.clear();
    },
    join: (response, lastEventId) => {
      for (const event of events.slice(lastEventId + 1)) response.write(event);
      if (finished) {
        response.end(END_OF_STREAM);
        return;
      }
      readers.add(response);
      response.once('close', () => {
        if (readers.delete(response) && readers.size === 0) onLeave();
      });
    },
    get readers() {
      return readers.size;
    },
    get finished() {
      return finished;
    },
  };
}
