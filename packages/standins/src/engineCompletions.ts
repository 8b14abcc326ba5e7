import { randomUUID } from 'node:crypto';
import type { ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { digestOf, type Digest } from '@burdockrail/common/digest.js';
import { monotonicClock } from '@burdockrail/common/timeSource.js';
import { answerLength, answerToken, prefixDigests, promptText } from './enginePrompt.js';
import type { CompletionBody } from './enginePrompt.js';
import type { EngineState } from './engineState.js';
import { noticeHeaders, sendRest } from './faultSet.js';
import { createEngineStream, type EngineStream } from './engineStream.js';
import { headerOf, readJson, sendJson, type StandinExchange } from './standinServer.js';

/** Time after which a streamed answer without a reader is cancelled, in milliseconds. */
const ABANDONED_STREAM_MILLISECONDS = 3_000;

/** Time for which a finished stream can still be resumed, in milliseconds. */
const FINISHED_STREAM_MILLISECONDS = 10_000;

/** A completion request in progress. */
interface Completion {
  readonly id: string;
  readonly body: CompletionBody;
  readonly isChat: boolean;
  readonly length: number;
  /** Request id in the answer; that of the previous request under the fault `crossed`. */
  readonly shownId: string;
  readonly shownPromptDigest: Digest;
  readonly prefixes: readonly Digest[];
  readonly priority: number;
  /** Digest of the weights when the sequence started. */
  digestAtStart: Digest;
  readonly stallAfterTokens: number;
  readonly cutAfterTokens: number;
}

function answerHeaders(completion: Completion, digest: Digest): Record<string, string> {
  return { 'x-request-id': completion.shownId, 'x-weights-digest': digest };
}

function createChoice(
  completion: Completion,
  text: string,
  isFinal: boolean,
  isStreamed: boolean,
): object {
  const finishReason = isFinal ? 'stop' : null;
  const content = { role: 'assistant', content: text };
  if (!completion.isChat) return { index: 0, text, finish_reason: finishReason };
  const message = isStreamed ? { delta: content } : { message: content };
  return { index: 0, ...message, finish_reason: finishReason };
}

function tokenEvent(completion: Completion, index: number, digest: Digest | null): string {
  const text = answerToken(completion.shownPromptDigest, index, completion.length);
  const isFinal = index === completion.length - 1;
  return JSON.stringify({
    id: completion.shownId,
    object: completion.isChat ? 'chat.completion.chunk' : 'text_completion',
    model: completion.body.model ?? '',
    choices: [createChoice(completion, text, isFinal, true)],
    weights: digest,
  });
}

function unstreamedBody(completion: Completion): string {
  const tokens = Array.from({ length: completion.length }, (_token, index) =>
    answerToken(completion.shownPromptDigest, index, completion.length),
  );
  return JSON.stringify({
    id: completion.shownId,
    object: completion.isChat ? 'chat.completion' : 'text_completion',
    model: completion.body.model ?? '',
    choices: [createChoice(completion, tokens.join(''), true, false)],
    usage: { completion_tokens: completion.length },
  });
}

function countExecution(state: EngineState, exchange: StandinExchange): void {
  const { counts } = state;
  const key = headerOf(exchange.request, 'x-test-key');
  counts.runs += 1;
  if (key !== undefined) counts.runsByKey[key] = (counts.runsByKey[key] ?? 0) + 1;
}

/** Starts a sequence with the current weights; returns the duration of its prefill. */
function startSequence(state: EngineState, completion: Completion): number {
  const digest = state.weights.digest ?? 'none';
  completion.digestAtStart = digest;
  const { answersByDigest } = state.counts;
  answersByDigest[digest] = (answersByDigest[digest] ?? 0) + 1;
  const missing = state.cache.use(completion.prefixes, monotonicClock.now());
  state.counts.prefixBlocks += completion.prefixes.length;
  state.counts.prefixBlocksMissed += missing;
  return (missing + 1) * state.settings.prefillMillisecondsPerBlock;
}

/** Sends an answer that is not streamed; the faults `cut` and `twice` truncate or repeat it. */
function sendUnstreamed(
  state: EngineState,
  response: ServerResponse,
  completion: Completion,
): void {
  const answer = unstreamedBody(completion);
  const digest = state.weights.digest;
  const shownDigest = digest === completion.digestAtStart ? digest : 'mixed';
  const headers = { 'content-type': 'application/json', 'content-length': answer.length };
  const notices = noticeHeaders(state.faults.consume('limit'), state.faults.consume('leaving'));
  response.writeHead(200, { ...headers, ...notices, ...answerHeaders(completion, shownDigest) });
  if (completion.cutAfterTokens < completion.length) {
    response.write(answer.slice(0, answer.length / 2), () => response.destroy());
    return;
  }
  const { socket } = response;
  const isSentTwice = state.faults.consume('twice') !== undefined;
  response.end(answer, () => {
    if (isSentTwice)
      socket?.write(`HTTP/1.1 200 OK\r\ncontent-length: ${answer.length}\r\n\r\n${answer}`);
  });
}

function runUnstreamed(state: EngineState, response: ServerResponse, completion: Completion): void {
  response.once('close', () => {
    if (!response.writableFinished) state.batch.cancel(completion.id);
  });
  state.batch.add({
    id: completion.id,
    priority: completion.priority,
    length: completion.length,
    prefill: () => startSequence(state, completion),
    onToken: () => {
      state.counts.tokens += 1;
    },
    onEnd: () => {
      state.counts.finished += 1;
      if (completion.stallAfterTokens >= completion.length)
        sendUnstreamed(state, response, completion);
    },
  });
}

function pushToken(
  state: EngineState,
  completion: Completion,
  stream: EngineStream,
  index: number,
): void {
  state.counts.tokens += 1;
  if (index === completion.cutAfterTokens) stream.abort();
  const silence = state.faults.consume('silence', ({ afterTokens }) => afterTokens === index);
  if (silence !== undefined) stream.holdBack(silence.milliseconds);
  if (index >= completion.stallAfterTokens) return;
  stream.push(tokenEvent(completion, index, state.weights.digest));
}

function sendStreamHead(
  state: EngineState,
  response: ServerResponse,
  completion: Completion,
): void {
  if (response.destroyed) return;
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
    ...noticeHeaders(state.faults.consume('limit'), state.faults.consume('leaving')),
    ...answerHeaders(completion, completion.digestAtStart),
  });
  response.flushHeaders();
}

/** HTTP handlers of completion requests and streams. */
export interface EngineCompletions {
  readonly complete: (exchange: StandinExchange) => Promise<void>;
  readonly resume: (exchange: StandinExchange) => void;
  readonly cancel: (exchange: StandinExchange) => void;
}

/**
 * Creates the handlers.
 *
 * @param crash - called when a prompt contains the marker of a `crash` fault.
 */
export function createEngineCompletions(
  state: EngineState,
  crash: () => Promise<void>,
): EngineCompletions {
  const completions = new Map<string, Completion>();
  let previousRequest = { id: 'another-request', promptDigest: digestOf('another prompt') };

  const createCompletion = (exchange: StandinExchange, body: CompletionBody): Completion => {
    const text = promptText(body);
    const id = headerOf(exchange.request, 'x-request-id') ?? randomUUID();
    const ownIdentity = { id, promptDigest: digestOf(text) };
    const shownIdentity =
      state.faults.consume('crossed') === undefined ? ownIdentity : previousRequest;
    previousRequest = ownIdentity;
    return {
      id,
      body,
      isChat: exchange.url.pathname.includes('/chat/'),
      length: answerLength(body),
      shownId: shownIdentity.id,
      shownPromptDigest: shownIdentity.promptDigest,
      prefixes: prefixDigests(text),
      priority: Number(headerOf(exchange.request, 'x-priority') ?? 0),
      digestAtStart: state.weights.digest ?? 'none',
      stallAfterTokens: state.faults.consume('stall')?.afterTokens ?? Infinity,
      cutAfterTokens: state.faults.consume('cut')?.afterTokens ?? Infinity,
    };
  };

  const runStream = (response: ServerResponse, completion: Completion): void => {
    const { id } = completion;
    const cancelAbandoned = (): void => {
      setTimeout(() => {
        if (stream.readerCount > 0 || stream.finished) return;
        state.batch.cancel(id);
        state.streams.delete(id);
      }, ABANDONED_STREAM_MILLISECONDS).unref();
    };
    const stream = createEngineStream(id, cancelAbandoned);
    const removeAfterRetention = (): void => {
      setTimeout(() => {
        state.streams.delete(id);
        completions.delete(id);
      }, FINISHED_STREAM_MILLISECONDS).unref();
    };
    state.streams.set(id, stream);
    completions.set(id, completion);
    stream.addReader(response, -1);
    state.batch.add({
      id,
      priority: completion.priority,
      length: completion.length,
      prefill: () => {
        const milliseconds = startSequence(state, completion);
        sendStreamHead(state, response, completion);
        return milliseconds;
      },
      onToken: (index) => {
        pushToken(state, completion, stream, index);
      },
      onEnd: () => {
        state.counts.finished += 1;
        if (completion.stallAfterTokens >= completion.length) stream.finish();
        removeAfterRetention();
      },
    });
  };

  const crashesOn = (text: string): boolean =>
    state.faults.consume('crash', (fault) => text.includes(fault.marker)) !== undefined;

  const findRejection = (): { readonly status: number; readonly error: string } | undefined => {
    if (state.faults.consume('error') !== undefined) return { status: 500, error: 'fault' };
    if (state.weights.digest === null) return { status: 503, error: 'no-weights' };
    return undefined;
  };

  return {
    complete: async (exchange) => {
      const body = (await readJson(exchange.request)) as CompletionBody;
      state.counts.requests += 1;
      const rest = state.faults.consume('rest');
      if (rest !== undefined) {
        sendRest(exchange.response, rest);
        return;
      }
      const rejection = findRejection();
      if (rejection !== undefined) {
        sendJson(exchange.response, rejection.status, { error: rejection.error });
        return;
      }
      const completion = createCompletion(exchange, body);
      countExecution(state, exchange);
      if (crashesOn(promptText(body))) {
        await crash();
        return;
      }
      const late = state.faults.consume('late');
      if (late !== undefined) await delay(late.milliseconds);
      const run = body.stream === true ? runStream : runUnstreamedWithState;
      run(exchange.response, completion);
    },
    resume: ({ request, response, parameters: [id = ''] }) => {
      const stream = state.streams.get(id);
      const completion = completions.get(id);
      if (stream === undefined || completion === undefined) {
        sendJson(response, 404, { error: 'no-such-stream' });
        return;
      }
      state.counts.resumed += 1;
      sendStreamHead(state, response, completion);
      stream.addReader(response, Number(headerOf(request, 'last-event-id') ?? -1));
    },
    cancel: ({ response, parameters: [id = ''] }) => {
      const stream = state.streams.get(id);
      state.batch.cancel(id);
      stream?.abort();
      state.streams.delete(id);
      if (stream !== undefined) state.counts.cancelled += 1;
      sendJson(response, stream === undefined ? 404 : 200, {});
    },
  };

  function runUnstreamedWithState(response: ServerResponse, completion: Completion): void {
    runUnstreamed(state, response, completion);
  }
}
