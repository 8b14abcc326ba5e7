/** What bounds the wait of a stream for a place. */
export interface StreamWaitQuestion {
  /** Time to the first event that the caller expects, in milliseconds. */
  readonly objectiveMilliseconds: number;
  readonly elapsedMilliseconds: number;
  readonly promptTokens: number;
  /** Pace at which an engine reads prompts; 0 when unknown. */
  readonly readTokensPerSecond: number;
}

/** Time from a granted place to the first event without reading the prompt, in milliseconds. */
const FIRST_EVENT_MILLISECONDS = 170;

/** Longest wait, in milliseconds: beyond it the queue only moves the refusal. */
const LONGEST_WAIT_MILLISECONDS = 160;

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Time for which a stream may wait for a place and still meet its objective, in milliseconds.
 *
 * @remarks
 * Answers the peak at which all places are taken: a place comes free every few milliseconds across
 * the engines, so a short wait mostly ends in one, and a longer one only spends the time that
 * reading the prompt needs.
 */
export function streamWait(question: StreamWaitQuestion): number {
  const { objectiveMilliseconds, elapsedMilliseconds, promptTokens, readTokensPerSecond } =
    question;
  const reading =
    readTokensPerSecond === 0 ? 0 : (promptTokens * MILLISECONDS_PER_SECOND) / readTokensPerSecond;
  const left = objectiveMilliseconds - elapsedMilliseconds - reading - FIRST_EVENT_MILLISECONDS;
  return Math.max(0, Math.min(LONGEST_WAIT_MILLISECONDS, left));
}
