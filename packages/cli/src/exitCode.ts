/** Exit codes of the command line. */
export enum ExitCode {
  Success = 0,
  /** The command failed with a numbered result. */
  Failure = 1,
  /** The command line itself is wrong. */
  Usage = 2,
}
