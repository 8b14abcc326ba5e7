import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { SlotClaim } from '@burdockrail/protocol/protocolDirectory.js';
import type { SlotRequest } from './slotQueue.js';

/** Size and speed of an engine. */
export interface EnginePerformance {
  readonly slots: number;
  /** Duration of a decode step without requests, in milliseconds. */
  readonly stepMilliseconds: number;
  /** Increase of a step's duration per running request, in milliseconds. */
  readonly stepPerRequestMilliseconds: number;
  /** Prefill throughput, in prompt tokens per second. */
  readonly readTokensPerSecond: number;
  /** Mean length of an answer, in tokens. */
  readonly usualAnswer: number;
}

/** The work that a claim requests a slot for; its cost does not depend on the model. */
export type ClaimWork = Omit<SlotClaim, 'model'>;

const MILLISECONDS_PER_SECOND = 1_000;

/** Share of a full engine's time spent on decoding; the rest is spent on prefill. */
const DECODE_SHARE = 0.6;

/**
 * Slack, in milliseconds, with which late claims are ordered, so that they come after claims that
 * can still be in time.
 */
const LATE_CLAIM_SLACK_MILLISECONDS = 10_000;

/**
 * Distance between two ranks; within a rank claims are ordered by the time at which their slack
 * ends.
 */
const RANK_STEP = 1e9;

function prefillMilliseconds(
  { promptTokens }: Pick<ClaimWork, 'promptTokens'>,
  engine: EnginePerformance | null,
): number {
  if (engine === null) return 0;
  return (promptTokens * MILLISECONDS_PER_SECOND) / engine.readTokensPerSecond;
}

/** Time for which a request is expected to occupy a slot, in milliseconds. */
export function expectedDurationMilliseconds(
  work: Pick<ClaimWork, 'answerTokens' | 'promptTokens'>,
  engine: EnginePerformance | null,
): Milliseconds {
  if (engine === null) return MILLISECONDS_PER_SECOND;
  const fullEngineStep = engine.stepMilliseconds + engine.stepPerRequestMilliseconds * engine.slots;
  const expectedAnswerTokens = work.answerTokens === 0 ? engine.usualAnswer : work.answerTokens;
  return prefillMilliseconds(work, engine) + (expectedAnswerTokens * fullEngineStep) / DECODE_SHARE;
}

/** Converts a claim's work to a request to the slot queue. */
export function toSlotRequest(
  work: ClaimWork,
  engine: EnginePerformance | null,
  now: Milliseconds,
): SlotRequest {
  return {
    requestId: work.requestId,
    expectedDurationMilliseconds: expectedDurationMilliseconds(work, engine),
    prefillMilliseconds: prefillMilliseconds(work, engine),
    slackMilliseconds: work.slackMilliseconds,
    mayWait: work.mayWait,
    mostReadingMilliseconds: work.mostReadingMilliseconds ?? Number.POSITIVE_INFINITY,
    mostTaken: work.mostTaken ?? Number.MAX_SAFE_INTEGER,
    holdMilliseconds: work.holdMilliseconds,
    // Claims that can still meet their objective come before those that cannot.
    rank: work.rank * RANK_STEP + now + (work.slackMilliseconds || LATE_CLAIM_SLACK_MILLISECONDS),
  };
}
