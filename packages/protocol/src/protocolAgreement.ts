import type { ResultCode } from '@burdockrail/common/resultCode.js';

/**
 * A consensus message between two replicas of a group.
 *
 * @remarks
 * Elements: group, formation of the sender's group, sender, receiver, number of the message kind,
 * fields of that kind.
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

/** Asks a replica of a group for a read that a quorum confirms. */
export interface GroupQuery {
  readonly group: string;
  readonly query: unknown;
}

/** Answer to {@link GroupPropose} and {@link GroupQuery}. */
export type GroupReply =
  | { readonly kind: 'result'; readonly value: unknown }
  /** Certainly not executed; `leader` is the slot that may lead the group. */
  | { readonly kind: 'refused'; readonly code: ResultCode; readonly leader: string | null }
  /** The command may have been committed or may still be. */
  | { readonly kind: 'unknown' };

/** Asks a process which replica of a group it runs. */
export interface GroupInspect {
  readonly group: string;
}

/** Answer to {@link GroupInspect}. */
export interface GroupInspectReply {
  readonly member: string;
  readonly durable: boolean;
  /** Formation that the replica belongs to; `null` if none. */
  readonly groupId: string | null;
  /** Slot of the leader; `null` if unknown to the replica. */
  readonly leader: string | null;
}

/** A member of a group that is being formed. */
export interface InitialMember {
  readonly id: string;
  readonly durable: boolean;
}

/** Asks an unformed replica to prepare the formation of a group, or with `final` to commit it. */
export interface GroupForm {
  readonly group: string;
  /** Identifies the formation; of two concurrent ones, the greater id in string order wins. */
  readonly groupId: string;
  readonly members: readonly InitialMember[];
  readonly final: boolean;
}

/** Answer to {@link GroupForm}. */
export interface GroupFormReply {
  readonly accepted: boolean;
}
