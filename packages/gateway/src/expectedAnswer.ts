import type { CallerHeaders } from './dialect.js';

/** Number of tokens that an answer is expected to have; callers often allow many more. */
export function expectedAnswerTokens(
  { answerTokens, answerEstimate }: Pick<CallerHeaders, 'answerEstimate' | 'answerTokens'>,
  usualAnswerTokens: number,
): number {
  const maximumTokens = answerTokens === 0 ? usualAnswerTokens : answerTokens;
  return Math.min(maximumTokens, answerEstimate ?? usualAnswerTokens);
}
