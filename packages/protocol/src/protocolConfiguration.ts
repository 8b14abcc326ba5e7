/** A configuration that a quorum committed. */
export interface CommittedConfiguration {
  /** Position in the order of accepted configurations; starts at 1. */
  readonly revision: number;
  /** Term of the leader that committed it; with the revision it is the fencing number. */
  readonly term: number;
  readonly digest: string;
  /** Canonical JSON of the fleet configuration. */
  readonly document: string;
}

/** Asks for a change of configuration. */
export interface ConfigurationApply {
  /** Equal for a resend of the same order. */
  readonly orderId: string;
  readonly expectedRevision: number;
  readonly document: string;
}

/** First and every later answer to one order. */
export type ConfigurationApplyReply =
  | { readonly kind: 'accepted'; readonly revision: number; readonly digest: string }
  | { readonly kind: 'conflict'; readonly revision: number; readonly digest: string };

/** An item of `configuration.watch`. */
export type ConfigurationWatchItem =
  | { readonly kind: 'committed'; readonly configuration: CommittedConfiguration }
  /** Sent in between, so that watchers notice a source that has fallen silent or behind. */
  | {
      readonly kind: 'alive';
      /** Time since a quorum of the fleet group confirmed what the source has, in milliseconds. */
      readonly ageMilliseconds: number;
    };

/** What a process reports of itself to operators. */
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
  /** Bytes sent to other processes since the start, weights and attempts left out. */
  readonly controlBytesSent: number;
  /** Bytes sent to other processes since the start, by family of message. */
  readonly sentBytesByFamily: Readonly<Record<string, number>>;
}

/** One replica's view of its quorum group. */
export interface GroupStatus {
  readonly group: string;
  readonly member: string;
  readonly role: 'unformed' | 'learner' | 'follower' | 'candidate' | 'leader';
  readonly term: number;
  readonly commitIndex: number;
  readonly leader: string | null;
  readonly voters: readonly string[];
  readonly learners: readonly string[];
}

/** Order of an operator to form the quorum groups of a new fleet; sent to one control process. */
export interface ClusterForm {
  /**
   * Form groups anew although replicas that held them before are gone, and give up what only they
   * had stored.
   */
  readonly acceptLoss: boolean;
}

/** Answer to {@link ClusterForm}. */
export interface ClusterFormReply {
  /** Groups that this order formed. */
  readonly formed: readonly string[];
  /** Groups that had been formed before and were left as they are. */
  readonly alreadyFormed: readonly string[];
}
