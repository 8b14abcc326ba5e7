/** Times that a replica keeps; all replicas of a group must use the same. */
export interface ReplicaTiming {
  /** Interval of a leader's messages to each member, in milliseconds. */
  readonly heartbeatMilliseconds: number;
  /** Silence of a leader before which no replica helps to elect another, in milliseconds. */
  readonly electionMilliseconds: number;
  /** Bound on the difference between the rates of two clocks, as a share. */
  readonly driftBound: number;
  /** Time after which an unanswered snapshot is sent again, in milliseconds. */
  readonly snapshotRetryMilliseconds: number;
  /** Entries applied since the last snapshot after which a new one is stored. */
  readonly entriesPerSnapshot: number;
  /** Whether a leader answers queries under its lease, without asking a quorum each time. */
  readonly answersUnderLease: boolean;
  /** Applied entries kept in memory for members that lag a little. */
  readonly entriesKept: number;
}

/** Times for groups whose members answer each other within some tens of milliseconds. */
export const defaultReplicaTiming: ReplicaTiming = {
  heartbeatMilliseconds: 250,
  electionMilliseconds: 1_000,
  driftBound: 0.02,
  snapshotRetryMilliseconds: 5_000,
  entriesPerSnapshot: 1_024,
  entriesKept: 256,
  answersUnderLease: true,
};

/**
 * Time for which a leader may rely on a message after it sent it, in milliseconds.
 *
 * @remarks
 * Shorter than the time for which the receivers refuse to elect another leader, even when the
 * leader's clock is slow and theirs are fast.
 */
export function leaseMilliseconds(timing: ReplicaTiming): number {
  return (timing.electionMilliseconds * (1 - timing.driftBound)) / (1 + timing.driftBound);
}
