import type { MemberId, Membership } from '@burdockrail/agreement/groupMembership.js';
import type { ReplicaMessage } from '@burdockrail/agreement/replicaMessage.js';
import type { AnyReplicatedState, MembershipRepair } from '@burdockrail/agreement/replicaState.js';
import type { ReplicaTiming } from '@burdockrail/agreement/replicaTiming.js';
import type { Outcome } from '@burdockrail/common/outcome.js';
import type { Address } from '@burdockrail/protocol/protocolAddress.js';
import type { GroupStatus } from '@burdockrail/protocol/protocolConfiguration.js';
import type { DaemonContext } from './daemonRole.js';
import type { GroupStorage } from './groupStorage.js';
import type { HostedReplicaStatus } from './withdrawnReplica.js';

/** Parts of the process context that a replica's host needs. */
export type GroupHostContext = Pick<
  DaemonContext,
  'time' | 'random' | 'log' | 'client' | 'actors'
> & {
  /** Slot of this process. */
  readonly settings: { readonly name: string };
};

/** Options of {@link createGroupHost}. */
export interface GroupHostOptions {
  readonly context: GroupHostContext;
  readonly group: string;
  /** Slots known at the start; all slots of the group if these are fixed. */
  readonly slots: readonly string[];
  readonly addressOf: (slot: string) => Address | undefined;
  readonly timing?: ReplicaTiming;
  readonly repair?: MembershipRepair;
  /** Opens the storage, also after each failure; the host owns what it opens. */
  readonly openStorage: () => Promise<GroupStorage>;
  /** Creates the empty state that a replica restores from its storage. */
  readonly createState: () => AnyReplicatedState;
  /** Called after the state has applied committed commands. */
  readonly onApplied?: () => void;
  /** Called once if stored data turns out to be corrupt, which ends the replica. */
  readonly onCorrupt?: () => void;
}

/**
 * One replica of a quorum group in this process.
 *
 * @remarks
 * If the disk refuses a write, the replica withdraws: it neither votes nor leads, and refuses
 * proposals. It is created again from its storage, as after a restart, once the disk accepts writes.
 */
export interface GroupHost extends AsyncDisposable {
  readonly group: string;
  /** Member id; `null` until the storage was opened for the first time. */
  readonly member: MemberId | null;
  readonly durable: boolean;
  /** `null` until the storage was opened for the first time. */
  readonly status: GroupStatus | null;
  readonly replica: HostedReplicaStatus;
  /** Time since this replica was last confirmed to be up to date, in milliseconds. */
  readonly confirmedAgeMilliseconds: number;
  receive(message: ReplicaMessage): void;
  /** Proposes a command; failures other than `QuorumUnreachable` mean that it was not proposed. */
  propose(command: unknown): Promise<Outcome<unknown>>;
  query(query: unknown): Promise<Outcome<unknown>>;
  formGroup(groupId: string, membership: Membership): void;
  /** Announces to the group that this process stops; resolves once that has been sent. */
  resign(): Promise<void>;
  /** Answers from the committed state of this replica, which may be stale. */
  peek(query: unknown): unknown;
}
