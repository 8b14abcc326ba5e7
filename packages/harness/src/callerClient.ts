import { Agent, request, type Dispatcher } from 'undici';
import { monotonicClock } from '@burdockrail/common/timeSource.js';
import { createEventStreamParser, type ServerSentEvent } from './eventStreamParser.js';

const DEFAULT_TIMEOUT_MILLISECONDS = 30_000;

/** A caller's request to a model service. */
export interface ModelRequest {
  readonly entry: string;
  readonly service: string;
  readonly team: string;
  readonly prompt: string;
  readonly maximumTokens?: number;
  readonly stream?: boolean;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMilliseconds?: number;
  readonly signal?: AbortSignal;
}

/** A caller's request to a plain service. */
export interface ServiceRequest {
  readonly entry: string;
  readonly service: string;
  readonly team: string;
  readonly path: string;
  readonly method?: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly body?: string;
  readonly idempotencyKey?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMilliseconds?: number;
  readonly signal?: AbortSignal;
}

/** Answer as received by a caller. */
export interface CallerAnswer {
  readonly status: number;
  /** Result code; null when the entry sent none. */
  readonly code: number | null;
  readonly run: string | null;
  /** Digest of the weights that produced the answer. */
  readonly version: string | null;
  readonly retryAfterSeconds: number | null;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Body, or the concatenated tokens of a streamed answer. */
  readonly text: string;
  /** Events of a streamed answer. */
  readonly events: readonly ServerSentEvent[];
  /** Distinct weight digests named by the events of a streamed answer. */
  readonly eventDigests: readonly string[];
  /** Whether the answer was received to its end; a stream must end with `[DONE]`. */
  readonly complete: boolean;
  readonly firstByteMilliseconds: number;
  readonly totalMilliseconds: number;
}

/** HTTP client that sends requests as a caller does. */
export interface CallerClient extends AsyncDisposable {
  callModel(request: ModelRequest): Promise<CallerAnswer>;
  callService(request: ServiceRequest): Promise<CallerAnswer>;
  /** Fetches the outcome recorded for an idempotency key. */
  fetchOutcome(entry: string, team: string, key: string): Promise<CallerAnswer>;
}

interface ReceivedBody {
  readonly text: string;
  readonly events: readonly ServerSentEvent[];
  readonly complete: boolean;
  readonly firstByteAt: number;
}

interface TokenEvent {
  readonly weights?: string;
  readonly choices?: readonly {
    readonly text?: string;
    readonly delta?: { readonly content?: string };
  }[];
}

function parseTokenEvent(event: ServerSentEvent): TokenEvent {
  if (!event.data.startsWith('{')) return {};
  return JSON.parse(event.data) as TokenEvent;
}

function tokenText(event: ServerSentEvent): string {
  const choice = parseTokenEvent(event).choices?.[0];
  return choice?.text ?? choice?.delta?.content ?? '';
}

async function readBody(answer: Dispatcher.ResponseData): Promise<ReceivedBody> {
  const streamed = String(answer.headers['content-type']).startsWith('text/event-stream');
  const reader = createEventStreamParser();
  const events: ServerSentEvent[] = [];
  let bodyText = '';
  let complete = !streamed;
  let firstByteAt = Infinity;
  try {
    for await (const part of answer.body) {
      firstByteAt = Math.min(firstByteAt, monotonicClock.now());
      const text = (part as Buffer).toString('utf8');
      if (streamed) events.push(...reader.push(text));
      else bodyText += text;
    }
  } catch {
    complete = false;
  }
  if (streamed) complete = events.at(-1)?.data === '[DONE]';
  return {
    text: streamed ? events.map(tokenText).join('') : bodyText,
    events,
    complete,
    firstByteAt,
  };
}

function headerText(answer: Dispatcher.ResponseData, name: string): string | null {
  const value = answer.headers[name];
  return typeof value === 'string' ? value : null;
}

function headerNumber(answer: Dispatcher.ResponseData, name: string): number | null {
  const value = headerText(answer, name);
  return value === null ? null : Number(value);
}

function distinctDigests(events: readonly ServerSentEvent[]): readonly string[] {
  const digests = events.map((event) => parseTokenEvent(event).weights);
  return [...new Set(digests.filter((digest) => digest !== undefined))];
}

/** Text that a model generated, from a streamed or an unstreamed answer. */
export function answerText(answer: CallerAnswer): string {
  if (answer.events.length > 0) return answer.text;
  const document = JSON.parse(answer.text) as {
    readonly choices?: readonly {
      readonly text?: string;
      readonly message?: { readonly content?: string };
    }[];
  };
  const choice = document.choices?.[0];
  return choice?.text ?? choice?.message?.content ?? '';
}

/** Creates a client that connects from the given local address. */
export function createCallerClient(localHost: string): CallerClient {
  const dispatcher = new Agent({ connect: { localAddress: localHost }, connections: null });

  const send = async (
    url: string,
    options: Omit<Dispatcher.RequestOptions, 'path' | 'origin'>,
    timeoutMilliseconds: number | undefined,
  ): Promise<CallerAnswer> => {
    const startedAt = monotonicClock.now();
    const timeout = timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS;
    const signals = [AbortSignal.timeout(timeout), options.signal].filter(
      (signal) => signal instanceof AbortSignal,
    );
    const answer = await request(url, {
      ...options,
      dispatcher,
      signal: AbortSignal.any(signals),
    });
    const body = await readBody(answer);
    return {
      status: answer.statusCode,
      code: headerNumber(answer, 'burdockrail-result'),
      run: headerText(answer, 'burdockrail-run'),
      version: headerText(answer, 'burdockrail-version'),
      retryAfterSeconds: headerNumber(answer, 'retry-after'),
      headers: answer.headers,
      text: body.text,
      events: body.events,
      eventDigests: distinctDigests(body.events),
      complete: body.complete,
      firstByteMilliseconds: body.firstByteAt - startedAt,
      totalMilliseconds: monotonicClock.now() - startedAt,
    };
  };

  return {
    callModel: async (call) => {
      const body = JSON.stringify({
        model: call.service,
        messages: [{ role: 'user', content: call.prompt }],
        stream: call.stream ?? false,
        ...(call.maximumTokens === undefined ? {} : { max_tokens: call.maximumTokens }),
      });
      const headers = { 'content-type': 'application/json', 'burdockrail-team': call.team };
      return send(
        `${call.entry}/v1/chat/completions`,
        {
          method: 'POST',
          headers: { ...headers, ...call.headers },
          body,
          ...(call.signal === undefined ? {} : { signal: call.signal }),
        },
        call.timeoutMilliseconds,
      );
    },
    callService: async (call) =>
      send(
        `${call.entry}/services/${call.service}${call.path}`,
        {
          method: call.method ?? 'POST',
          headers: {
            'burdockrail-team': call.team,
            ...(call.idempotencyKey === undefined
              ? {}
              : { 'idempotency-key': call.idempotencyKey }),
            ...call.headers,
          },
          ...(call.body === undefined ? {} : { body: call.body }),
          ...(call.signal === undefined ? {} : { signal: call.signal }),
        },
        call.timeoutMilliseconds,
      ),
    fetchOutcome: async (entry, team, key) =>
      send(
        `${entry}/v1/outcomes/${encodeURIComponent(key)}`,
        { method: 'GET', headers: { 'burdockrail-team': team } },
        undefined,
      ),
    [Symbol.asyncDispose]: async () => {
      await dispatcher.destroy();
    },
  };
}

/** Prompt text that the engine receives for a request of {@link CallerClient.callModel}. */
export function chatPromptText(prompt: string): string {
  return `user: ${prompt}`;
}
