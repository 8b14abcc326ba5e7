/** A configuration committed by a quorum. */
export interface CommittedConfiguration {
  /** Sequence number among accepted configurations; starts at 1. */
  readonly revision: number;
  /** Term of the leader that committed it; revision and term together are the fencing token. */
  readonly term: number;
  readonly digest: string;
  /** Canonical JSON of the fleet configuration. */
  readonly document: string;
}

/** Asks for a change of configuration. */
export interface ConfigurationApply {
  /** Idempotency key: the same for every resend of an order. */
  readonly orderId: string;
  readonly expectedRevision: number;
  readonly document: string;
}

/** Answer to an order; resends of the order get the same answer. */
export type ConfigurationApplyReply =
  | { readonly kind: 'accepted'; readonly revision: number; readonly digest: string }
  | { readonly kind: 'conflict'; readonly revision: number; readonly digest: string };

/** An item of `configuration.watch`. */
export type ConfigurationWatchItem =
  | { readonly kind: 'committed'; readonly configuration: CommittedConfiguration }
  /** Keep-alive, by which watchers detect a source that is silent or has stale data. */
  | {
      readonly kind: 'alive';
      /** Time since a quorum of the fleet group confirmed the source's data, in milliseconds. */
      readonly ageMilliseconds: number;
    };

/** Status that a process reports to operators. */
export interface ProcessStatus {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly roles: readonly string[];
  readonly revision: number;
  readonly digest: string;
  readonly groups: readonly GroupStatus[];
  readonly residentBytes: number;
  readonly processorMilliseconds: number;
  /** Bytes sent to other processes since the start, except weights and attempts. */
  readonly controlBytesSent: number;
  /** Bytes sent to other processes since the start, by message family. */
  readonly sentBytesByFamily: Readonly<Record<string, number>>;
}

/** State of a quorum group as one of its replicas sees it. */
export interface GroupStatus {
  readonly group: string;
  readonly member: string;
  /** `withdrawn` while the replica's disk refuses writes. */
  readonly role: 'unformed' | 'learner' | 'follower' | 'candidate' | 'leader' | 'withdrawn';
  readonly term: number;
  readonly commitIndex: number;
  readonly leader: string | null;
  readonly voters: readonly string[];
  readonly learners: readonly string[];
}

/** Operator's order to form the quorum groups of a new fleet; sent to one control process. */
export interface ClusterForm {
  /**
   * Form groups again even if their former replicas are lost, and accept the loss of data that only
   * those replicas stored.
   */
  readonly acceptLoss: boolean;
}

/** Answer to {@link ClusterForm}. */
export interface ClusterFormReply {
  /** Groups that this order formed. */
  readonly formed: readonly string[];
  /** Groups that were already formed and were left unchanged. */
  readonly alreadyFormed: readonly string[];
}
