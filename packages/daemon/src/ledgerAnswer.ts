import { createByteCollector } from '@burdockrail/common/byteCollector.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { AttemptHead, StoredAnswer } from '@burdockrail/protocol/protocolAttempt.js';
import { answerHeaderNames } from './requestAnswer.js';
import type { AnswerHeaders } from './requestCaller.js';
import { forwardedHeaders, type AnswerSink } from './requestRelay.js';

/** Largest body that is stored in the ledger, in bytes; equals the ledger's limit. */
const MAXIMUM_STORED_BODY_BYTES = 64 * 1024;

/** Records a copy of an answer while it is relayed. */
export interface AnswerRecorder extends AnswerSink {
  /** The answer to store; complete only after `end`. */
  readonly answer: StoredAnswer;
}

function storedHeaders(head: AttemptHead): AnswerHeaders {
  const { versionDigest } = head;
  if (versionDigest === undefined) return forwardedHeaders(head.headers);
  return { ...forwardedHeaders(head.headers), [answerHeaderNames.version]: versionDigest };
}

/** Creates a recorder for one answer. */
export function createAnswerRecorder(): AnswerRecorder {
  let answer: StoredAnswer = { status: 0, headers: {} };
  const body = createByteCollector({ maximumBytes: MAXIMUM_STORED_BODY_BYTES });
  let isStored = true;
  return {
    get answer() {
      return answer;
    },
    head: (head) => {
      answer = { status: head.status, headers: storedHeaders(head) };
    },
    data: async (bytes) => {
      isStored = body.add(bytes);
      return Promise.resolve();
    },
    end: () => {
      if (isStored) answer = { ...answer, body: body.take() };
    },
  };
}

/** Passes each part of an answer to two sinks. */
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

/** Returns the headers with which a stored answer is replayed. */
export function replayHeaders(answer: StoredAnswer): AnswerHeaders {
  return {
    ...answer.headers,
    [answerHeaderNames.result]: String(ResultCode.Ok),
    [answerHeaderNames.run]: 'ran',
    [answerHeaderNames.replayed]: 'true',
  };
}
