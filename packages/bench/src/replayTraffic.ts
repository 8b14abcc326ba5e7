import type { SeededRandom } from '@burdockrail/common/seededRandom.js';

/** A kind of streams that callers ask for. */
export interface StreamKind {
  readonly name: string;
  /** Share of the arrivals. */
  readonly share: number;
  readonly objectiveMilliseconds: number;
  readonly pauseMilliseconds: number;
  readonly promptTokens: number;
  readonly mostPromptTokens: number;
  readonly answerTokens: number;
  readonly mostAnswerTokens: number;
  /** Worth of an answer in time, and of a late one. */
  readonly worth: number;
  readonly lateWorth: number;
}

/** One request of a caller. */
export interface StreamArrival {
  readonly at: number;
  readonly kind: StreamKind;
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** The caller's estimate of the answer, in tokens. */
  readonly hintTokens: number;
  /** Worth of this request: large ones are worth more. */
  readonly worth: number;
}

/** Arrivals over time: the share of the full rate that holds from a second on. */
export interface TrafficPattern {
  readonly perSecond: number;
  readonly steps: readonly { readonly from: number; readonly share: number }[];
  readonly seconds: number;
  readonly kinds: readonly StreamKind[];
}

/** Part of the worth that does not depend on the size. */
const FLAT_WORTH = 0.3;

/** Tokens of a prompt that cost an engine as much as a token of an answer. */
const PROMPT_TOKENS_PER_ANSWER_TOKEN = 10;

/** Most that a request's size multiplies its worth by. */
const MOST_WORTH = 4;

/** Spread of the callers' estimates, as the standard deviation of their logarithm. */
const HINT_SPREAD = 0.5;

/** Variance of the logarithm of sizes whose standard deviation equals their mean. */
const SIZE_VARIANCE = Math.log(2);

function normal(random: SeededRandom): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

function size(random: SeededRandom, mean: number, most: number): number {
  const exponent = normal(random) * Math.sqrt(SIZE_VARIANCE) - SIZE_VARIANCE / 2;
  return Math.max(1, Math.min(most, Math.round(mean * Math.exp(exponent))));
}

function worthOf(kind: StreamKind, promptTokens: number, answerTokens: number): number {
  const cost = promptTokens + PROMPT_TOKENS_PER_ANSWER_TOKEN * answerTokens;
  const usual = kind.promptTokens + PROMPT_TOKENS_PER_ANSWER_TOKEN * kind.answerTokens;
  return kind.worth * Math.min(MOST_WORTH, FLAT_WORTH + (1 - FLAT_WORTH) * (cost / usual));
}

function draw(random: SeededRandom, kinds: readonly StreamKind[]): StreamKind | undefined {
  let left = random.next() * kinds.reduce((sum, { share }) => sum + share, 0);
  return kinds.find(({ share }) => (left -= share) < 0) ?? kinds[0];
}

/** Draws the requests of a pattern, in the order of their times. */
export function drawArrivals(
  pattern: TrafficPattern,
  random: SeededRandom,
): readonly StreamArrival[] {
  const arrivals: StreamArrival[] = [];
  const rateAt = (second: number): number =>
    pattern.perSecond * (pattern.steps.findLast(({ from }) => from <= second)?.share ?? 1);
  for (let second = 0; ;) {
    second += -Math.log(1 - random.next()) / rateAt(second);
    const kind = draw(random, pattern.kinds);
    if (second >= pattern.seconds || kind === undefined) return arrivals;
    const promptTokens = size(random, kind.promptTokens, kind.mostPromptTokens);
    const answerTokens = size(random, kind.answerTokens, kind.mostAnswerTokens);
    arrivals.push({
      at: second * 1_000,
      kind,
      promptTokens,
      answerTokens,
      hintTokens: Math.round(answerTokens * Math.exp(normal(random) * HINT_SPREAD)),
      worth: worthOf(kind, promptTokens, answerTokens),
    });
  }
}
