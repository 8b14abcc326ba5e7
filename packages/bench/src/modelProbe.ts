import {
  answerText,
  chatPromptText,
  type CallerAnswer,
} from '@burdockrail/harness/callerClient.js';
import type { System } from '@burdockrail/harness/system.js';
import { expectedAnswer } from '@burdockrail/standins/enginePrompt.js';

/** A request to a model whose answer can be judged. */
export interface ModelProbe {
  readonly entry: string;
  readonly service: string;
  readonly team: string;
  readonly prompt: string;
  readonly tokens: number;
  readonly stream: boolean;
}

/** What became of a probe. */
export interface ProbeResult {
  /** Whether the caller got the whole answer to its own request. */
  readonly right: boolean;
  /** Whether the answer came from weights other than one published version from first to last. */
  readonly mixed: boolean;
  /** Result number; null when the connection failed before an answer. */
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

/** Sends a probe and judges its answer; `published` holds the digests of whole versions. */
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
      right: answered && answer.complete && answerText(answer) === expected,
      mixed: answered && isMixed(answer, published),
      code: answer.code,
      firstByteMilliseconds: answer.firstByteMilliseconds,
      totalMilliseconds: answer.totalMilliseconds,
    };
  } catch {
    return {
      right: false,
      mixed: false,
      code: null,
      firstByteMilliseconds: Infinity,
      totalMilliseconds: Infinity,
    };
  }
}
