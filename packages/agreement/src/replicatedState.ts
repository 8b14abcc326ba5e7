/** Position in a group's log. */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
}

/**
 * A deterministic state machine that a quorum group replicates.
 *
 * @remarks
 * The same commands in the same order give the same states and results on every replica. All values
 * are plain data that the codec can encode.
 */
export interface ReplicatedState<Command, Result, Query, Answer> {
  /** Applies a committed command. */
  apply(command: Command, position: LogPosition): Result;
  /** Answers from the current state without changing it. */
  query(query: Query): Answer;
  /** Returns the complete state as plain data. */
  snapshot(): unknown;
  /** Replaces the complete state with that of a snapshot. */
  restore(snapshot: unknown): void;
}
