import type { Outcome } from '@burdockrail/common/outcome.js';
import type { MemberId } from './groupMembership.js';
import type { GroupSnapshot, LogEntry } from './logEntry.js';
import type { ReplicaMessage } from './replicaMessage.js';

/** Change of a replica's stored state; records are applied in the order they were issued. */
export type StoredRecord =
  | { readonly kind: 'vote'; readonly term: number; readonly votedFor: MemberId | null }
  /** Replaces all entries from the first one's index on. */
  | { readonly kind: 'entries'; readonly entries: readonly LogEntry[] }
  /** All entries up to and including the index are committed. */
  | { readonly kind: 'committed'; readonly index: number }
  /** Replaces everything stored before. */
  | ({ readonly kind: 'snapshot' } & Omit<StoredReplica, 'commitIndex'>);

/** Stored state from which a replica restarts. */
export interface StoredReplica {
  readonly term: number;
  readonly votedFor: MemberId | null;
  readonly snapshot: GroupSnapshot;
  /** Entries after the snapshot. */
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
}

/** Action that the host of a replica must perform; effects are performed in order. */
export type ReplicaEffect =
  /** Store the records, then call `persisted` with the sequence number. */
  | {
      readonly kind: 'persist';
      readonly sequence: number;
      readonly records: readonly StoredRecord[];
    }
  | { readonly kind: 'send'; readonly slot: string; readonly message: ReplicaMessage }
  /** Answer to the proposal or query with this request identifier. */
  | { readonly kind: 'answer'; readonly requestId: number; readonly outcome: Outcome<unknown> }
  /** The replicated state has applied all entries up to and including the index. */
  | { readonly kind: 'applied'; readonly index: number };
