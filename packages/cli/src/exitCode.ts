/** Exit codes of the command line. */
export enum ExitCode {
  Success = 0,
  /** The command failed with a result code. */
  Failure = 1,
  /** The command line arguments are invalid. */
  Usage = 2,
}
