import { randomUUID } from 'node:crypto';
import type { ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { digestOf, type Digest } from '@burdockrail/common/digest.js';
import { monotonicClock } from '@burdockrail/common/timeSource.js';
import { answerLength, answerToken, prefixDigests, promptText } from './enginePrompt.js';
import type { CompletionBody } from './enginePrompt.js';
import type { EngineState } from './engineState.js';
import { createEngineStream, type EngineStream } from './engineStream.js';
import { headerOf, readJson, sendJson, type StandinExchange } from './standinServer.js';

/** How long a streamed answer without a reader goes on, in milliseconds. */
const ABANDONED_STREAM_MILLISECONDS = 3_000;

/** How long a whole answer can still be joined, in milliseconds. */
const FINISHED_STREAM_MILLISECONDS = 10_000;

/** One request while it is answered. */
interface Completion {
  readonly id: string;
  readonly body: CompletionBody;
  readonly chat: boolean;
  readonly length: number;
  /** Identity that the answer shows; another request's when the answer is crossed. */
  readonly shownId: string;
  readonly shownPromptDigest: Digest;
  readonly prefixes: readonly Digest[];
  readonly priority: number;
  /** Weights that the sequence began under; set when a slot is free for it. */
  digestAtStart: Digest;
  readonly stallAfter: number;
  readonly cutAfter: number;
}

function answerHeaders(completion: Completion, digest: Digest): Record<string, string> {
  return { 'x-request-id': completion.shownId, 'x-weights-digest': digest };
}

function choiceOf(completion: Completion, text: string, whole: boolean, streamed: boolean): object {
  const finishReason = whole ? 'stop' : null;
  const content = { role: 'assistant', content: text };
  if (!completion.chat) return { index: 0, text, finish_reason: finishReason };
  const part = streamed ? { delta: content } : { message: content };
  return { index: 0, ...part, finish_reason: finishReason };
}

function tokenEvent(completion: Completion, index: number, digest: Digest | null): string {
  const text = answerToken(completion.shownPromptDigest, index, completion.length);
  const whole = index === completion.length - 1;
  return JSON.stringify({
    id: completion.shownId,
    object: completion.chat ? 'chat.completion.chunk' : 'text_completion',
    model: completion.body.model ?? '',
    choices: [choiceOf(completion, text, whole, true)],
    weights: digest,
  });
}

function wholeAnswer(completion: Completion): string {
  const tokens = Array.from({ length: completion.length }, (_token, index) =>
    answerToken(completion.shownPromptDigest, index, completion.length),
  );
  return JSON.stringify({
    id: completion.shownId,
    object: completion.chat ? 'chat.completion' : 'text_completion',
    model: completion.body.model ?? '',
    choices: [choiceOf(completion, tokens.join(''), true, false)],
    usage: { completion_tokens: completion.length },
  });
}

function countRun(state: EngineState, exchange: StandinExchange): void {
  const { counts } = state;
  const key = headerOf(exchange.request, 'x-test-key');
  counts.runs += 1;
  if (key !== undefined) counts.runsByKey[key] = (counts.runsByKey[key] ?? 0) + 1;
}

/** Begins a sequence under the weights of this moment; returns the time of its prompt. */
function beginSequence(state: EngineState, completion: Completion): number {
  const digest = state.weights.digest ?? 'none';
  completion.digestAtStart = digest;
  const { answersByDigest } = state.counts;
  answersByDigest[digest] = (answersByDigest[digest] ?? 0) + 1;
  const missing = state.cache.use(completion.prefixes, monotonicClock.now());
  state.counts.prefixBlocks += completion.prefixes.length;
  state.counts.prefixBlocksMissed += missing;
  return (missing + 1) * state.settings.prefillMillisecondsPerBlock;
}

/** Sends one whole answer; by fault it is cut in the middle or sent twice. */
function sendWhole(state: EngineState, response: ServerResponse, completion: Completion): void {
  const answer = wholeAnswer(completion);
  const digest = state.weights.digest;
  const shownDigest = digest === completion.digestAtStart ? digest : 'mixed';
  const headers = { 'content-type': 'application/json', 'content-length': answer.length };
  response.writeHead(200, { ...headers, ...answerHeaders(completion, shownDigest) });
  if (completion.cutAfter < completion.length) {
    response.write(answer.slice(0, answer.length / 2), () => response.destroy());
    return;
  }
  const { socket } = response;
  const again = state.faults.take('twice') !== undefined;
  response.end(answer, () => {
    if (again)
      socket?.write(`HTTP/1.1 200 OK\r\ncontent-length: ${answer.length}\r\n\r\n${answer}`);
  });
}

function runWhole(state: EngineState, response: ServerResponse, completion: Completion): void {
  response.once('close', () => {
    if (!response.writableFinished) state.batch.cancel(completion.id);
  });
  state.batch.add({
    id: completion.id,
    priority: completion.priority,
    length: completion.length,
    prefill: () => beginSequence(state, completion),
    onToken: () => {
      state.counts.tokens += 1;
    },
    onEnd: () => {
      state.counts.finished += 1;
      if (completion.stallAfter >= completion.length) sendWhole(state, response, completion);
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
  if (index === completion.cutAfter) stream.abort();
  if (index >= completion.stallAfter) return;
  stream.push(tokenEvent(completion, index, state.weights.digest));
}

function sendStreamHead(response: ServerResponse, completion: Completion): void {
  if (response.destroyed) return;
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
    ...answerHeaders(completion, completion.digestAtStart),
  });
  response.flushHeaders();
}

/** Answers of one engine. */
export interface EngineCompletions {
  readonly complete: (exchange: StandinExchange) => Promise<void>;
  readonly resume: (exchange: StandinExchange) => void;
  readonly cancel: (exchange: StandinExchange) => void;
}

/** Creates the handlers of requests; `crash` ends the engine when a prompt asks for it. */
export function createEngineCompletions(
  state: EngineState,
  crash: () => Promise<void>,
): EngineCompletions {
  const completions = new Map<string, Completion>();
  let previous = { id: 'another-request', promptDigest: digestOf('another prompt') };

  const describe = (exchange: StandinExchange, body: CompletionBody): Completion => {
    const text = promptText(body);
    const id = headerOf(exchange.request, 'x-request-id') ?? randomUUID();
    const own = { id, promptDigest: digestOf(text) };
    const shown = state.faults.take('crossed') === undefined ? own : previous;
    previous = own;
    return {
      id,
      body,
      chat: exchange.url.pathname.includes('/chat/'),
      length: answerLength(body),
      shownId: shown.id,
      shownPromptDigest: shown.promptDigest,
      prefixes: prefixDigests(text),
      priority: Number(headerOf(exchange.request, 'x-priority') ?? 0),
      digestAtStart: state.weights.digest ?? 'none',
      stallAfter: state.faults.take('stall')?.afterTokens ?? Infinity,
      cutAfter: state.faults.take('cut')?.afterTokens ?? Infinity,
    };
  };

  const runStream = (response: ServerResponse, completion: Completion): void => {
    const { id } = completion;
    const cancelAbandoned = (): void => {
      setTimeout(() => {
        if (stream.readers > 0 || stream.finished) return;
        state.batch.cancel(id);
        state.streams.delete(id);
      }, ABANDONED_STREAM_MILLISECONDS).unref();
    };
    const stream = createEngineStream(id, cancelAbandoned);
    const forgetLater = (): void => {
      setTimeout(() => {
        state.streams.delete(id);
        completions.delete(id);
      }, FINISHED_STREAM_MILLISECONDS).unref();
    };
    state.streams.set(id, stream);
    completions.set(id, completion);
    stream.join(response, -1);
    state.batch.add({
      id,
      priority: completion.priority,
      length: completion.length,
      prefill: () => {
        const milliseconds = beginSequence(state, completion);
        sendStreamHead(response, completion);
        return milliseconds;
      },
      onToken: (index) => {
        pushToken(state, completion, stream, index);
      },
      onEnd: () => {
        state.counts.finished += 1;
        if (completion.stallAfter >= completion.length) stream.finish();
        forgetLater();
      },
    });
  };

  const crashesOn = (text: string): boolean =>
    state.faults.take('crash', (fault) => text.includes(fault.marker)) !== undefined;

  const refusal = (): { readonly status: number; readonly error: string } | undefined => {
    if (state.faults.take('error') !== undefined) return { status: 500, error: 'fault' };
    if (state.weights.digest === null) return { status: 503, error: 'no-weights' };
    return undefined;
  };

  return {
    complete: async (exchange) => {
      const body = (await readJson(exchange.request)) as CompletionBody;
      state.counts.requests += 1;
      const refused = refusal();
      if (refused !== undefined) {
        sendJson(exchange.response, refused.status, { error: refused.error });
        return;
      }
      const completion = describe(exchange, body);
      countRun(state, exchange);
      if (crashesOn(promptText(body))) {
        await crash();
        return;
      }
      const late = state.faults.take('late');
      if (late !== undefined) await delay(late.milliseconds);
      const run = body.stream === true ? runStream : runWholeHere;
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
      sendStreamHead(response, completion);
      stream.join(response, Number(headerOf(request, 'last-event-id') ?? -1));
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

  function runWholeHere(response: ServerResponse, completion: Completion): void {
    runWhole(state, response, completion);
  }
}
