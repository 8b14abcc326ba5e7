import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { PlaceClaim } from '@burdockrail/protocol/protocolDirectory.js';
import type { PlaceRequest } from './placeQueue.js';

/** How fast an engine works. */
export interface EnginePace {
  readonly slots: number;
  /** Time of a step without requests, in milliseconds. */
  readonly stepMilliseconds: number;
  readonly stepPerRequestMilliseconds: number;
  readonly readTokensPerSecond: number;
  /** Mean size of an answer, in tokens. */
  readonly usualAnswer: number;
}

/** The work that a claim wants a place for; the engine's model does not change what it costs. */
export type ClaimedWork = Omit<PlaceClaim, 'model'>;

const MILLISECONDS_PER_SECOND = 1_000;

/** Part of a full engine's time that goes into writing; it reads prompts in the rest. */
const WRITING_SHARE = 0.6;

/** Place of late claims behind those in time, as a slack in milliseconds. */
const LATE_RANK = 10_000;

/** Distance between two ranks; waits in milliseconds decide inside a rank. */
const RANK_STEP = 1e9;

function readMilliseconds({ promptTokens }: ClaimedWork, pace: EnginePace | null): number {
  if (pace === null) return 0;
  return (promptTokens * MILLISECONDS_PER_SECOND) / pace.readTokensPerSecond;
}

/** Time for which a request is expected to take a place, in milliseconds. */
function expectedMilliseconds(work: ClaimedWork, pace: EnginePace | null): number {
  if (pace === null) return MILLISECONDS_PER_SECOND;
  const step = pace.stepMilliseconds + pace.stepPerRequestMilliseconds * pace.slots;
  const answer = work.answerTokens === 0 ? pace.usualAnswer : work.answerTokens;
  return readMilliseconds(work, pace) + (answer * step) / WRITING_SHARE;
}

/** What a place queue needs to know of a claim's work. */
export function placeRequest(
  work: ClaimedWork,
  pace: EnginePace | null,
  now: Milliseconds,
): PlaceRequest {
  return {
    owner: work.requestId,
    expectedMilliseconds: expectedMilliseconds(work, pace),
    readMilliseconds: readMilliseconds(work, pace),
    slackMilliseconds: work.slackMilliseconds,
    mayWait: work.mayWait,
    mostReadingMilliseconds: work.mostReadingMilliseconds ?? Number.POSITIVE_INFINITY,
    mostTaken: work.mostTaken ?? Number.MAX_SAFE_INTEGER,
    holdMilliseconds: work.holdMilliseconds,
    // Claims that can still be in time go before those that are late in any case.
    rank: work.rank * RANK_STEP + now + (work.slackMilliseconds || LATE_RANK),
  };
}
