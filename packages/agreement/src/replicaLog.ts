import type { LogEntry } from './logEntry.js';
import type { LogPosition } from './replicatedState.js';

/** In-memory part of the replicated log. */
export interface ReplicaLog {
  /** Position before the first entry in memory. */
  readonly base: LogPosition;
  readonly last: LogPosition;
  /** Term of an entry or of the base; `undefined` for other indexes. */
  termAt(index: number): number | undefined;
  entryAt(index: number): LogEntry | undefined;
  /** At most `limit` entries, starting at an index. */
  entriesFrom(index: number, limit: number): readonly LogEntry[];
  /** Replaces all entries from the index of the first added entry on. */
  replaceFrom(added: readonly LogEntry[]): void;
  /** Removes the entries up to and including an index. */
  compactTo(index: number): void;
  /** Removes all entries and makes the position the base. */
  reset(position: LogPosition): void;
}

/** Creates a log that holds the entries after `start`. */
export function createReplicaLog(start: LogPosition, initial: readonly LogEntry[]): ReplicaLog {
  let base: LogPosition = { index: start.index, term: start.term };
  let entries: LogEntry[] = [...initial];
  const entryAt = (index: number): LogEntry | undefined => entries[index - base.index - 1];
  return {
    get base() {
      return base;
    },
    get last() {
      return entries.at(-1) ?? base;
    },
    termAt: (index) => (index === base.index ? base.term : entryAt(index)?.term),
    entryAt,
    entriesFrom: (index, limit) => {
      const from = index - base.index - 1;
      return entries.slice(from, from + limit);
    },
    replaceFrom: (added) => {
      const first = added[0];
      if (first === undefined) return;
      entries.length = first.index - base.index - 1;
      entries.push(...added);
    },
    compactTo: (index) => {
      const entry = entryAt(index);
      if (entry === undefined) return;
      entries = entries.slice(index - base.index);
      base = { index, term: entry.term };
    },
    reset: (position) => {
      base = { index: position.index, term: position.term };
      entries = [];
    },
  };
}
