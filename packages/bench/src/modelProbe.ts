import {
  answerText,
  chatPromptText,
  type CallerAnswer,
} from '@burdockrail/harness/callerClient.js';
import type { System } from '@burdockrail/harness/system.js';
import { expectedAnswer } from '@burdockrail/standins/enginePrompt.js';

/** A model request whose correct answer is known. */
export interface ModelProbe {
  readonly entry: string;
  readonly service: string;
  readonly team: string;
  readonly prompt: string;
  readonly tokens: number;
  readonly stream: boolean;
}

/** Result of a probe. */
export interface ProbeResult {
  /** Whether the caller received the complete and correct answer to its request. */
  readonly correct: boolean;
  /** Whether the answer names more than one weight version, or an unpublished one. */
  readonly mixed: boolean;
  /** Result code; null when the connection failed before an answer. */
  readonly code: number | null;
  readonly firstByteMilliseconds: number;
  readonly totalMilliseconds: number;
}

function isMixed(answer: CallerAnswer, published: ReadonlySet<string>): boolean {
  const { version, eventDigests } = answer;
  const engineDigest = answer.headers['x-weights-digest'];
  const digests = [version, engineDigest, ...eventDigests];
  const named = digests.filter((digest) => typeof digest === 'string');
  return new Set(named).size > 1 || named.some((digest) => !published.has(digest));
}

/** Sends a probe and checks its answer; `published` holds the digests of all published versions. */
export async function sendProbe(
  system: System,
  probe: ModelProbe,
  published: ReadonlySet<string>,
): Promise<ProbeResult> {
  try {
    const answer = await system.callers.callModel({
      entry: probe.entry,
      service: probe.service,
      team: probe.team,
      prompt: probe.prompt,
      maximumTokens: probe.tokens,
      stream: probe.stream,
    });
    const expected = expectedAnswer(chatPromptText(probe.prompt), probe.tokens);
    const answered = answer.status === 200;
    return {
      correct: answered && answer.complete && answerText(answer) === expected,
      mixed: answered && isMixed(answer, published),
      code: answer.code,
      firstByteMilliseconds: answer.firstByteMilliseconds,
      totalMilliseconds: answer.totalMilliseconds,
    };
  } catch {
    return {
      correct: false,
      mixed: false,
      code: null,
      firstByteMilliseconds: Infinity,
      totalMilliseconds: Infinity,
    };
  }
}
