import type { LogEntry } from './logEntry.js';
import type { StoredRecord, StoredReplica } from './replicaEffect.js';

function replaceEntries(stored: StoredReplica, added: readonly LogEntry[]): readonly LogEntry[] {
  const firstAddedIndex = added[0]?.index ?? Number.MAX_SAFE_INTEGER;
  const keptEntries = stored.entries.filter((entry) => entry.index < firstAddedIndex);
  const baseIndex = stored.snapshot.index;
  return [...keptEntries, ...added.filter((entry) => entry.index > baseIndex)];
}

/**
 * Applies one record to the stored state of a replica.
 *
 * @remarks
 * The first record is always a snapshot, because a replica without a group stores nothing.
 */
export function applyStoredRecord(
  stored: StoredReplica | null,
  record: StoredRecord,
): StoredReplica {
  if (record.kind === 'snapshot') {
    const { snapshot, entries, term, votedFor } = record;
    return { snapshot, entries, term, votedFor, commitIndex: snapshot.index };
  }
  if (stored === null)
    throw new Error(`stored record of kind ${record.kind} precedes the first snapshot`);
  switch (record.kind) {
    case 'vote':
      return { ...stored, term: record.term, votedFor: record.votedFor };
    case 'committed':
      return { ...stored, commitIndex: Math.max(stored.commitIndex, record.index) };
    case 'entries':
      return { ...stored, entries: replaceEntries(stored, record.entries) };
  }
}
