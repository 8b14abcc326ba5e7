/** One server-sent event. */
export interface ServerSentEvent {
  readonly id: string | null;
  readonly event: string | null;
  readonly data: string;
}

/** Incremental parser of a server-sent event stream. */
export interface EventStreamParser {
  /** Adds received text and returns the events that it completes. */
  push(text: string): readonly ServerSentEvent[];
}

function parseEvent(block: string): ServerSentEvent {
  const fields: Record<string, string> = {};
  for (const line of block.split('\n')) {
    const colon = line.indexOf(':');
    if (colon > 0) fields[line.slice(0, colon)] = line.slice(colon + 1).trim();
  }
  return { id: fields.id ?? null, event: fields.event ?? null, data: fields.data ?? '' };
}

/** Creates a parser for one stream. */
export function createEventStreamParser(): EventStreamParser {
  let rest = '';
  return {
    push: (text) => {
      const blocks = (rest + text).split('\n\n');
      rest = blocks.pop() ?? '';
      return blocks.map(parseEvent);
    },
  };
}
