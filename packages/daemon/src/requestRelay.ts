import { createByteCollector, type ByteCollector } from '@burdockrail/common/byteCollector.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { AttemptHead } from '@burdockrail/protocol/protocolAttempt.js';
import { answerHeaderNames, errorDocument } from './requestAnswer.js';
import type { AnswerHeaders, RequestCaller } from './requestCaller.js';
import type { RefusedResult } from './requestTypes.js';

/** Largest answer that is buffered until it is complete, in bytes; larger ones are streamed. */
const MAXIMUM_BUFFERED_BYTES = 8 * 1024 * 1024;

/** Headers that apply to a single connection or that the entry sets itself. */
const excludedHeaders: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'keep-alive',
  'transfer-encoding',
  'upgrade',
  ...Object.values(answerHeaderNames),
]);

/** Receives the parts of an upstream's answer in order. */
export interface AnswerSink {
  head(head: AttemptHead): void;
  data(bytes: Uint8Array): Promise<void>;
  /** Called when the answer is complete. */
  end(): void;
}

/** Returns the headers of an upstream's answer that are forwarded. */
export function forwardedHeaders(headers: AnswerHeaders): AnswerHeaders {
  const forwarded = Object.entries(headers).filter(
    ([name]) => !excludedHeaders.has(name.toLowerCase()),
  );
  return Object.fromEntries(forwarded);
}

/** Returns the headers that the caller gets with an upstream's answer. */
export function callerHeaders(head: AttemptHead, agent: string): AnswerHeaders {
  return {
    ...forwardedHeaders(head.headers),
    [answerHeaderNames.result]: String(ResultCode.Ok),
    [answerHeaderNames.run]: 'ran',
    [answerHeaderNames.upstream]: agent,
    ...(head.versionDigest === undefined
      ? {}
      : { [answerHeaderNames.version]: head.versionDigest }),
  };
}

function isEventStream(head: AttemptHead): boolean {
  const contentType = Object.entries(head.headers).find(
    ([name]) => name.toLowerCase() === 'content-type',
  );
  return contentType?.[1].startsWith('text/event-stream') === true;
}

/**
 * Returns the server-sent event that is written before an incomplete answer is aborted.
 *
 * @remarks
 * The connection is closed after it. A caller that reads an event stream gets the result code from
 * it; other callers detect the incomplete answer by the unterminated body.
 */
export function errorEvent(result: RefusedResult): string {
  return `\n\nevent: error\ndata: ${errorDocument(result)}\n\n`;
}

/**
 * Creates the relay of one attempt.
 *
 * @remarks
 * Event streams are forwarded part by part. Other answers are buffered until they are complete, so
 * that a truncated one can still be replaced by a retry or an error with a result code.
 */
export function createAnswerRelay(caller: RequestCaller, agent: string): AnswerSink {
  let answerHead: AttemptHead | undefined;
  let buffered: ByteCollector | undefined = createByteCollector({
    maximumBytes: MAXIMUM_BUFFERED_BYTES,
  });

  const startStreaming = async (head: AttemptHead, parts: readonly Uint8Array[]): Promise<void> => {
    buffered = undefined;
    caller.startAnswer(head.status, callerHeaders(head, agent));
    for (const part of parts) await caller.write(part);
  };

  return {
    head: (head) => {
      answerHead = head;
      if (isEventStream(head)) void startStreaming(head, []);
    },
    data: async (bytes) => {
      if (buffered === undefined || answerHead === undefined) {
        await caller.write(bytes);
        return;
      }
      const isTooLarge = buffered.size + bytes.length > MAXIMUM_BUFFERED_BYTES;
      if (isTooLarge) await startStreaming(answerHead, [buffered.take(), bytes]);
      else buffered.add(bytes);
    },
    end: () => {
      if (buffered === undefined || answerHead === undefined) {
        caller.end();
        return;
      }
      caller.sendAnswer(answerHead.status, callerHeaders(answerHead, agent), buffered.take());
    },
  };
}
