import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { AttemptHead } from '@burdockrail/protocol/protocolAttempt.js';
import { answerHeaderNames, errorDocument } from './requestAnswer.js';
import type { AnswerHeaders, RequestCaller } from './requestCaller.js';
import type { RefusedResult } from './requestTypes.js';

/** Largest answer that is held until it is whole, in bytes; larger ones are passed on in parts. */
const MAXIMUM_HELD_BYTES = 8 * 1024 * 1024;

/** Headers that belong to one connection or that the system sets itself. */
const droppedHeaders: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'keep-alive',
  'transfer-encoding',
  'upgrade',
  ...Object.values(answerHeaderNames),
]);

/** Takes the parts of an upstream's answer in their order. */
export interface AnswerSink {
  head(head: AttemptHead): void;
  data(bytes: Uint8Array): Promise<void>;
  /** The answer is whole. */
  end(): void;
}

/** Headers of an upstream's answer without those of its connection. */
export function keptHeaders(headers: AnswerHeaders): AnswerHeaders {
  const kept = Object.entries(headers).filter(([name]) => !droppedHeaders.has(name.toLowerCase()));
  return Object.fromEntries(kept);
}

/** Headers of an upstream's answer as the caller gets them. */
export function relayedHeaders(head: AttemptHead, agent: string): AnswerHeaders {
  return {
    ...keptHeaders(head.headers),
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
 * Last notice of a cut answer, as an event of its own.
 *
 * @remarks
 * The connection breaks after it. A caller that reads an event stream learns the number; for any
 * other answer of a length not told before, the break alone shows the cut.
 */
export function cutNotice(result: RefusedResult): string {
  return `\n\nevent: error\ndata: ${errorDocument(result)}\n\n`;
}

/**
 * Creates the relay of one attempt.
 *
 * @remarks
 * Event streams are passed on part by part. Other answers are held until they are whole, so that
 * one cut short can still be replaced by a retry or a numbered error.
 */
export function createAnswerRelay(caller: RequestCaller, agent: string): AnswerSink {
  let present: AttemptHead | undefined;
  let held: Uint8Array[] | undefined = [];
  let heldBytes = 0;

  const pass = async (head: AttemptHead, parts: readonly Uint8Array[]): Promise<void> => {
    held = undefined;
    caller.begin(head.status, relayedHeaders(head, agent));
    for (const part of parts) await caller.write(part);
  };

  return {
    head: (head) => {
      present = head;
      if (isEventStream(head)) void pass(head, []);
    },
    data: async (bytes) => {
      if (held === undefined || present === undefined) {
        await caller.write(bytes);
        return;
      }
      held.push(bytes);
      heldBytes += bytes.length;
      if (heldBytes > MAXIMUM_HELD_BYTES) await pass(present, held);
    },
    end: () => {
      if (held === undefined || present === undefined) {
        caller.end();
        return;
      }
      const body = Buffer.concat(held, heldBytes);
      caller.answer(present.status, relayedHeaders(present, agent), body);
    },
  };
}
