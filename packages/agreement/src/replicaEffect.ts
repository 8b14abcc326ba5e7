import type { Outcome } from '@burdockrail/common/outcome.js';
import type { MemberId } from './groupMembership.js';
import type { GroupSnapshot, LogEntry } from './logEntry.js';
import type { ReplicaMessage } from './replicaMessage.js';

/** Change of a replica's stored state, in the order of arrival. */
export type StoredRecord =
  | { readonly kind: 'vote'; readonly term: number; readonly votedFor: MemberId | null }
  /** Replaces all entries from the first index on. */
  | { readonly kind: 'entries'; readonly entries: readonly LogEntry[] }
  /** All entries up to the index are committed. */
  | { readonly kind: 'committed'; readonly index: number }
  /** Takes the place of all that was stored before. */
  | ({ readonly kind: 'snapshot' } & Omit<StoredReplica, 'commitIndex'>);

/** What a replica knew when it stopped. */
export interface StoredReplica {
  readonly term: number;
  readonly votedFor: MemberId | null;
  readonly snapshot: GroupSnapshot;
  /** Entries after the snapshot. */
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
}

/** What the host of a replica has to carry out, in order. */
export type ReplicaEffect =
  /** Store the records and then report the sequence by `persisted`. */
  | {
      readonly kind: 'persist';
      readonly sequence: number;
      readonly records: readonly StoredRecord[];
    }
  | { readonly kind: 'send'; readonly slot: string; readonly message: ReplicaMessage }
  /** Answer to a proposal or query that the host handed in under this identifier. */
  | { readonly kind: 'answer'; readonly requestId: number; readonly outcome: Outcome<unknown> }
  /** The replicated state took all committed entries up to an index. */
  | { readonly kind: 'applied'; readonly index: number };
