/** Place of a committed command in its group's log. */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
}

/**
 * A deterministic state that a quorum group replicates.
 *
 * @remarks
 * Equal commands in equal order give equal states and results on every replica. All values are
 * plain data that the codec carries.
 */
export interface ReplicatedState<Command, Result, Query, Answer> {
  /** Carries out a committed command. */
  apply(command: Command, position: LogPosition): Result;
  /** Answers from the present state without changing it. */
  query(query: Query): Answer;
  /** The whole state as plain data. */
  snapshot(): unknown;
  /** Replaces the whole state by an earlier snapshot. */
  restore(snapshot: unknown): void;
}
