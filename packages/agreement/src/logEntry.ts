import type { Membership } from './groupMembership.js';
import type { LogPosition } from './replicatedState.js';

/** What an entry of the log carries. */
export type LogPayload =
  | { readonly kind: 'empty' }
  | { readonly kind: 'command'; readonly command: unknown }
  | { readonly kind: 'membership'; readonly membership: Membership };

/** One entry of a group's log. */
export interface LogEntry extends LogPosition {
  readonly payload: LogPayload;
}

/** The whole state of a group after one entry. */
export interface GroupSnapshot extends LogPosition {
  /** Names the founding of the group; replicas of other foundings are never mixed. */
  readonly groupId: string;
  readonly membership: Membership;
  /** Snapshot of the replicated state. */
  readonly data: unknown;
}
