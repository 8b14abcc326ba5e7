import type { LogEntry } from './logEntry.js';
import type { LogPosition } from './replicatedState.js';

/** The part of a log that a replica holds in memory. */
export interface ReplicaLog {
  /** Position before the first entry held. */
  readonly base: LogPosition;
  readonly last: LogPosition;
  /** Term of an entry or of the base; `undefined` for all others. */
  termAt(index: number): number | undefined;
  entryAt(index: number): LogEntry | undefined;
  /** At most `limit` entries from an index on. */
  entriesFrom(index: number, limit: number): readonly LogEntry[];
  /** Puts entries in place; all former entries from the first new index on are dropped. */
  replaceFrom(entries: readonly LogEntry[]): void;
  /** Drops the entries up to an index. */
  compactTo(index: number): void;
  /** Drops everything and starts after a position. */
  reset(base: LogPosition): void;
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
