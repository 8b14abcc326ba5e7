/** What a stream's time to its first event is made of before it has a place. */
export interface StreamSlackQuestion {
  /** Time to the first event that the caller expects, in milliseconds. */
  readonly objectiveMilliseconds: number;
  readonly elapsedMilliseconds: number;
  readonly promptTokens: number;
  /** Pace at which an engine reads prompts; 0 when unknown. */
  readonly readTokensPerSecond: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Time of the objective that is left for waiting and for the engine's other work, in milliseconds. */
export function streamSlack(question: StreamSlackQuestion): number {
  const { objectiveMilliseconds, elapsedMilliseconds, promptTokens, readTokensPerSecond } =
    question;
  const reading =
    readTokensPerSecond === 0 ? 0 : (promptTokens * MILLISECONDS_PER_SECOND) / readTokensPerSecond;
  return Math.max(0, objectiveMilliseconds - elapsedMilliseconds - reading);
}
