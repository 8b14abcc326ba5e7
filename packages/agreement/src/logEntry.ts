import type { Membership } from './groupMembership.js';
import type { LogPosition } from './replicatedState.js';

/** Payload of a log entry. */
export type LogPayload =
  | { readonly kind: 'empty' }
  | { readonly kind: 'command'; readonly command: unknown }
  | { readonly kind: 'membership'; readonly membership: Membership };

export interface LogEntry extends LogPosition {
  readonly payload: LogPayload;
}

/** Complete state of a group as of one log position. */
export interface GroupSnapshot extends LogPosition {
  /** Chosen when the group is formed; replicas ignore messages of groups with another identifier. */
  readonly groupId: string;
  readonly membership: Membership;
  /** Snapshot of the replicated state. */
  readonly data: unknown;
}
