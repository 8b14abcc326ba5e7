import type { StoredRecord, StoredReplica } from '@burdockrail/agreement/replicaEffect.js';

/** Storage for the state that a replica needs after a restart. */
export interface GroupStorage extends AsyncDisposable {
  /** Incarnation of the replica; an empty storage adopts the one passed on opening. */
  readonly incarnation: string;
  /** State stored before the storage was opened; `null` if it was empty. */
  readonly storedReplica: StoredReplica | null;
  /** Whether records survive the process. */
  readonly durable: boolean;
  /** Stores records in order; resolves when they are durable, if the storage is. */
  append(records: readonly StoredRecord[]): Promise<void>;
}

/** Creates a storage whose state is lost when the process ends. */
export function createMemoryStorage(incarnation: string): GroupStorage {
  return {
    incarnation,
    storedReplica: null,
    durable: false,
    append: async () => Promise.resolve(),
    [Symbol.asyncDispose]: async () => Promise.resolve(),
  };
}
