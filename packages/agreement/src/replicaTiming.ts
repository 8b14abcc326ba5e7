/** Timing and log retention of a replica; all replicas of a group must use the same values. */
export interface ReplicaTiming {
  /** Interval between a leader's heartbeats, in milliseconds. */
  readonly heartbeatMilliseconds: number;
  /** Time without contact to a leader before a replica may vote for another, in milliseconds. */
  readonly electionTimeoutMilliseconds: number;
  /** Maximum deviation of a clock's rate from the true rate, as a fraction. */
  readonly driftBound: number;
  /** Time after which an unacknowledged snapshot is resent, in milliseconds. */
  readonly snapshotRetryMilliseconds: number;
  /** Number of entries applied after a snapshot before the next one is stored. */
  readonly entriesPerSnapshot: number;
  /** Whether a leader answers queries under its lease, without contacting a quorum. */
  readonly usesLeaseReads: boolean;
  /** Applied entries kept in memory for members that lag slightly. */
  readonly retainedEntries: number;
}

/** Values for groups with round-trip times of some tens of milliseconds. */
export const defaultReplicaTiming: ReplicaTiming = {
  heartbeatMilliseconds: 250,
  electionTimeoutMilliseconds: 1_000,
  driftBound: 0.02,
  snapshotRetryMilliseconds: 5_000,
  entriesPerSnapshot: 1_024,
  retainedEntries: 256,
  usesLeaseReads: true,
};

/**
 * Duration of the lease from the send time of a message that a quorum acknowledges, in milliseconds.
 *
 * @remarks
 * Shorter than the time for which the receivers refuse to vote for another leader, even if the
 * leader's clock is slow and theirs are fast.
 */
export function leaseDurationMilliseconds(timing: ReplicaTiming): number {
  return (timing.electionTimeoutMilliseconds * (1 - timing.driftBound)) / (1 + timing.driftBound);
}
