import type { StoredRecord, StoredReplica } from '@burdockrail/agreement/replicaEffect.js';

/** Where a replica keeps what it must not forget. */
export interface GroupStorage extends AsyncDisposable {
  /** Incarnation of the replica; a blank storage takes the one offered at its opening. */
  readonly incarnation: string;
  /** What was stored when the storage was opened; `null` for a blank one. */
  readonly stored: StoredReplica | null;
  /** Whether records outlast the process. */
  readonly durable: boolean;
  /** Stores records in order; resolves when they are as safe as this storage makes them. */
  append(records: readonly StoredRecord[]): Promise<void>;
}

/** Creates a storage that forgets everything with its process. */
export function createMemoryStorage(incarnation: string): GroupStorage {
  return {
    incarnation,
    stored: null,
    durable: false,
    append: async () => Promise.resolve(),
    [Symbol.asyncDispose]: async () => Promise.resolve(),
  };
}
