import type { ResultCode } from '@burdockrail/common/resultCode.js';

/**
 * A message between two replicas of a group.
 *
 * @remarks
 * Group, founding of the sender's group, sender, receiver, number of the kind, fields of the kind.
 */
export type AgreementMessage = readonly [
  group: string,
  groupId: string | null,
  from: string,
  to: string | null,
  kind: number,
  ...fields: readonly unknown[],
];

/** Proposes a command to a replica of a group. */
export interface GroupPropose {
  readonly group: string;
  readonly command: unknown;
}

/** Asks a replica of a group for an answer that a quorum stands for. */
export interface GroupQuery {
  readonly group: string;
  readonly query: unknown;
}

/** Answer to {@link GroupPropose} and {@link GroupQuery}. */
export type GroupReply =
  | { readonly kind: 'result'; readonly value: unknown }
  /** Surely not carried out; another slot may lead the group. */
  | { readonly kind: 'refused'; readonly code: ResultCode; readonly leader: string | null }
  /** The command may have been committed or may still be. */
  | { readonly kind: 'unknown' };

/** Asks a process which replica of a group it holds. */
export interface GroupInspect {
  readonly group: string;
}

/** Answer to {@link GroupInspect}. */
export interface GroupInspectReply {
  readonly member: string;
  readonly durable: boolean;
  /** Founding of the replica's group; `null` while it belongs to none. */
  readonly groupId: string | null;
  /** Slot of the leader, if the replica knows it. */
  readonly leader: string | null;
}

/** A member of a group that is about to be formed. */
export interface FoundingMember {
  readonly id: string;
  readonly durable: boolean;
}

/** Asks a blank replica to promise itself to a founding, or with `final` to carry it out. */
export interface GroupFound {
  readonly group: string;
  /** Names the founding; of two, the one that is greater as a text wins. */
  readonly groupId: string;
  readonly members: readonly FoundingMember[];
  readonly final: boolean;
}

/** Answer to {@link GroupFound}. */
export interface GroupFoundReply {
  readonly accepted: boolean;
}
