import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { AttemptHead, StoredAnswer } from '@burdockrail/protocol/protocolAttempt.js';
import { answerHeaderNames } from './requestAnswer.js';
import type { AnswerHeaders } from './requestCaller.js';
import { keptHeaders, type AnswerSink } from './requestRelay.js';

/** Largest body that is handed to the ledger, in bytes; the ledger's own bound. */
const KEPT_BODY_BYTES = 64 * 1024;

/** Keeps a copy of an answer while it is passed on. */
export interface AnswerKeeper extends AnswerSink {
  /** The answer to store, once it is whole. */
  readonly answer: StoredAnswer;
}

function storedHeaders(head: AttemptHead): AnswerHeaders {
  const { versionDigest } = head;
  if (versionDigest === undefined) return keptHeaders(head.headers);
  return { ...keptHeaders(head.headers), [answerHeaderNames.version]: versionDigest };
}

/** Creates a keeper. */
export function createAnswerKeeper(): AnswerKeeper {
  let answer: StoredAnswer = { status: 0, headers: {} };
  let parts: Uint8Array[] | undefined = [];
  let length = 0;
  return {
    get answer() {
      return parts === undefined ? answer : { ...answer, body: Buffer.concat(parts, length) };
    },
    head: (head) => {
      answer = { status: head.status, headers: storedHeaders(head) };
    },
    data: async (bytes) => {
      length += bytes.length;
      if (length > KEPT_BODY_BYTES) parts = undefined;
      parts?.push(bytes);
      return Promise.resolve();
    },
    end: () => undefined,
  };
}

/** Hands each part of an answer to two sinks. */
export function teeSinks(first: AnswerSink, second: AnswerSink): AnswerSink {
  return {
    head: (head) => {
      first.head(head);
      second.head(head);
    },
    data: async (bytes) => {
      await first.data(bytes);
      await second.data(bytes);
    },
    end: () => {
      first.end();
      second.end();
    },
  };
}

/** Headers with which a stored answer is sent again. */
export function replayedHeaders(answer: StoredAnswer): AnswerHeaders {
  return {
    ...answer.headers,
    [answerHeaderNames.result]: String(ResultCode.Ok),
    [answerHeaderNames.run]: 'ran',
    [answerHeaderNames.replayed]: 'true',
  };
}
