/** Values from which the slack of a stream that has no slot yet is computed. */
export interface StreamSlackInput {
  /** Latency objective: time to the first event that the caller expects, in milliseconds. */
  readonly objectiveMilliseconds: number;
  /** Time since the caller's first attempt, in milliseconds. */
  readonly elapsedMilliseconds: number;
  readonly promptTokens: number;
  /** Prefill throughput of an engine; 0 when unknown. */
  readonly readTokensPerSecond: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Time left for waiting and for the engine's other work within the latency objective, in
 * milliseconds.
 */
export function streamSlackMilliseconds(input: StreamSlackInput): number {
  const { objectiveMilliseconds, elapsedMilliseconds, promptTokens, readTokensPerSecond } = input;
  const prefillMilliseconds =
    readTokensPerSecond === 0 ? 0 : (promptTokens * MILLISECONDS_PER_SECOND) / readTokensPerSecond;
  return Math.max(0, objectiveMilliseconds - elapsedMilliseconds - prefillMilliseconds);
}
