import type { SeededRandom } from '@burdockrail/common/seededRandom.js';

/** A kind of streamed request, with its mean sizes. */
export interface StreamKind {
  readonly name: string;
  /** Share of the arrivals. */
  readonly share: number;
  /** Objective for the time to the first event. */
  readonly objectiveMilliseconds: number;
  /** Longest allowed time between two events. */
  readonly maximumPauseMilliseconds: number;
  readonly promptTokens: number;
  readonly maximumPromptTokens: number;
  readonly answerTokens: number;
  readonly maximumAnswerTokens: number;
  /** Mean worth of an answer on time, and of a late one. */
  readonly worth: number;
  readonly lateWorth: number;
}

/** A caller's request. */
export interface StreamArrival {
  readonly at: number;
  readonly kind: StreamKind;
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** The caller's estimate of the answer's length. */
  readonly estimatedAnswerTokens: number;
  /** Worth of the answer on time; larger requests are worth more. */
  readonly worth: number;
  /** True if the request crashes each engine that begins to answer it. */
  readonly isCrashing: boolean;
}

/** Requests of a pattern that crash engines. */
export interface CrashingTraffic {
  /** Share of the arrivals. */
  readonly share: number;
  readonly fromSecond: number;
}

/** Arrival rate over time; each step sets the share of the full rate from a second on. */
export interface TrafficPattern {
  readonly perSecond: number;
  readonly steps: readonly { readonly from: number; readonly share: number }[];
  readonly seconds: number;
  readonly kinds: readonly StreamKind[];
  readonly crashing?: CrashingTraffic;
}

/** Share of the worth that does not depend on the request's size. */
const BASE_SHARE = 0.3;

/** Number of prompt tokens that cost an engine as much as one answer token. */
const PROMPT_TOKENS_PER_ANSWER_TOKEN = 10;

/** Upper limit on the factor by which size increases a request's worth. */
const MAXIMUM_FACTOR = 4;

/** Standard deviation of the logarithm of the callers' estimates. */
const ESTIMATE_DEVIATION = 0.5;

/** Variance of the logarithm of log-normal sizes whose standard deviation equals their mean. */
const SIZE_VARIANCE = Math.log(2);

function drawNormal(random: SeededRandom): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

function drawSize(random: SeededRandom, mean: number, maximum: number): number {
  const exponent = drawNormal(random) * Math.sqrt(SIZE_VARIANCE) - SIZE_VARIANCE / 2;
  return Math.max(1, Math.min(maximum, Math.round(mean * Math.exp(exponent))));
}

function worthOf(kind: StreamKind, promptTokens: number, answerTokens: number): number {
  const cost = promptTokens + PROMPT_TOKENS_PER_ANSWER_TOKEN * answerTokens;
  const meanCost = kind.promptTokens + PROMPT_TOKENS_PER_ANSWER_TOKEN * kind.answerTokens;
  return kind.worth * Math.min(MAXIMUM_FACTOR, BASE_SHARE + (1 - BASE_SHARE) * (cost / meanCost));
}

function drawKind(random: SeededRandom, kinds: readonly StreamKind[]): StreamKind | undefined {
  let left = random.next() * kinds.reduce((sum, { share }) => sum + share, 0);
  return kinds.find(({ share }) => (left -= share) < 0) ?? kinds[0];
}

/** Generates the requests of a pattern, ordered by time. */
export function drawArrivals(
  pattern: TrafficPattern,
  random: SeededRandom,
): readonly StreamArrival[] {
  const arrivals: StreamArrival[] = [];
  const rateAt = (second: number): number =>
    pattern.perSecond * (pattern.steps.findLast(({ from }) => from <= second)?.share ?? 1);
  const drawIsCrashing = (second: number): boolean => {
    const { crashing } = pattern;
    return (
      crashing !== undefined && second >= crashing.fromSecond && random.next() < crashing.share
    );
  };
  for (let second = 0; ;) {
    second += -Math.log(1 - random.next()) / rateAt(second);
    const kind = drawKind(random, pattern.kinds);
    if (second >= pattern.seconds || kind === undefined) return arrivals;
    const promptTokens = drawSize(random, kind.promptTokens, kind.maximumPromptTokens);
    const answerTokens = drawSize(random, kind.answerTokens, kind.maximumAnswerTokens);
    arrivals.push({
      at: second * 1_000,
      kind,
      promptTokens,
      answerTokens,
      estimatedAnswerTokens: Math.round(
        answerTokens * Math.exp(drawNormal(random) * ESTIMATE_DEVIATION),
      ),
      worth: worthOf(kind, promptTokens, answerTokens),
      isCrashing: drawIsCrashing(second),
    });
  }
}
