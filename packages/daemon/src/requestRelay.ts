import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { AttemptHead } from '@burdockrail/protocol/protocolAttempt.js';
import { answerHeaderNames, errorDocument } from './requestAnswer.js';
import type { AnswerHeaders, RequestCaller } from './requestCaller.js';
import { refused, type RefusedResult } from './requestTypes.js';

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

/** Passes one upstream's answer on to the caller. */
export interface AnswerRelay extends AnswerSink {
  /** Ends an answer that has begun so that the caller sees it as cut. */
  cut(result: RefusedResult): void;
}

/** Headers of an upstream's answer as the caller gets them. */
export function relayedHeaders(head: AttemptHead, agent: string): AnswerHeaders {
  const kept = Object.entries(head.headers).filter(
    ([name]) => !droppedHeaders.has(name.toLowerCase()),
  );
  return {
    ...Object.fromEntries(kept),
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

/** Last notice of a cut answer: an event of its own in an event stream, nothing otherwise. */
function cutNotice(streamed: boolean, result: RefusedResult): string {
  return streamed ? `\n\nevent: error\ndata: ${errorDocument(result)}\n\n` : '';
}

/**
 * Creates the relay of one attempt.
 *
 * @remarks
 * Event streams are passed on part by part. Other answers are held until they are whole, so that
 * one cut short can still be replaced by a retry or a numbered error.
 */
export function createAnswerRelay(caller: RequestCaller, agent: string): AnswerRelay {
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
    cut: (result) => {
      const streamed = present !== undefined && isEventStream(present);
      caller.cut(cutNotice(streamed, result));
    },
  };
}

/** Result that tells a caller why its answer ends early. */
export function cutResult(code: ResultCode, detail: string): RefusedResult {
  return refused(code, 'ran', { detail });
}
