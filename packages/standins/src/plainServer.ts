import { setTimeout as delay } from 'node:timers/promises';
import { digestOf } from '@burdockrail/common/digest.js';
import {
  createFaultSet,
  noticeHeaders,
  sendRest,
  type FaultBase,
  type NoticeFault,
} from './faultSet.js';
import { controlRoutes } from './standinControl.js';
import {
  createStandinServer,
  headerOf,
  readBody,
  sendJson,
  type StandinAddress,
  type StandinExchange,
  type StandinServer,
} from './standinServer.js';

/** Default time for which a crashed service refuses connections, in milliseconds. */
const DEFAULT_DOWN_MILLISECONDS = 300;

/** Faults of a plain service; `crossed` sends the answer to the previous request. */
export type PlainFault =
  | NoticeFault
  | (FaultBase &
      (
        | { readonly kind: 'latency'; readonly milliseconds: number }
        | { readonly kind: 'late'; readonly milliseconds: number }
        | { readonly kind: 'crash-before-run' }
        | { readonly kind: 'crash-after-run' }
        | { readonly kind: 'crash'; readonly marker: string }
        | { readonly kind: 'twice' }
        | { readonly kind: 'crossed' }
        | { readonly kind: 'cut' }
        | { readonly kind: 'stall' }
        | { readonly kind: 'error' }
      ));

/** Counts of a plain service; a crash does not reset them. */
export interface PlainCounts {
  runs: number;
  crashes: number;
  readonly runsByKey: Record<string, number>;
  readonly runsByTestKey: Record<string, number>;
}

/** Body of an answer of a plain service. */
export interface PlainAnswer {
  readonly requestId: string | null;
  readonly key: string | null;
  /** Number of executions under this idempotency key, including this one. */
  readonly run: number;
  readonly method: string;
  readonly path: string;
  readonly bodyDigest: string;
}

/** Options of {@link createPlainServer}. */
export interface PlainOptions {
  readonly address: StandinAddress;
  /** Duration of each execution, in milliseconds. */
  readonly runMilliseconds?: number;
}

function increment(table: Record<string, number>, key: string | undefined): number {
  if (key === undefined) return 0;
  const next = (table[key] ?? 0) + 1;
  table[key] = next;
  return next;
}

/** Starts a service that counts the executions of each request. */
export async function createPlainServer(options: PlainOptions): Promise<StandinServer> {
  const faults = createFaultSet<PlainFault>();
  const counts: PlainCounts = { runs: 0, crashes: 0, runsByKey: {}, runsByTestKey: {} };
  let previousAnswer: PlainAnswer = {
    requestId: 'another-request',
    key: null,
    run: 1,
    method: 'POST',
    path: '/',
    bodyDigest: digestOf('another body'),
  };

  const crash = async (downMilliseconds = DEFAULT_DOWN_MILLISECONDS): Promise<void> => {
    counts.crashes += 1;
    await server.crash(downMilliseconds);
  };

  const executeRequest = ({ request, url }: StandinExchange, body: Buffer): PlainAnswer => {
    const key = headerOf(request, 'idempotency-key');
    counts.runs += 1;
    increment(counts.runsByTestKey, headerOf(request, 'x-test-key'));
    return {
      requestId: headerOf(request, 'x-request-id') ?? null,
      key: key ?? null,
      run: increment(counts.runsByKey, key),
      method: request.method ?? '',
      path: url.pathname,
      bodyDigest: digestOf(body),
    };
  };

  const send = (exchange: StandinExchange, answer: PlainAnswer): void => {
    const { response } = exchange;
    const text = JSON.stringify(answer);
    const headers = {
      'content-type': 'application/json',
      'content-length': text.length,
      ...noticeHeaders(faults.consume('limit'), faults.consume('leaving')),
    };
    response.writeHead(200, { ...headers, 'x-request-id': answer.requestId ?? '' });
    if (faults.consume('cut') !== undefined) {
      response.write(text.slice(0, text.length / 2), () => response.destroy());
      return;
    }
    const { socket } = response;
    const isSentTwice = faults.consume('twice') !== undefined;
    response.end(text, () => {
      if (isSentTwice)
        socket?.write(`HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n${text}`);
    });
  };

  const crashesOn = (body: Buffer): boolean =>
    faults.consume('crash', (fault) => body.includes(fault.marker)) !== undefined;

  const serve = async (exchange: StandinExchange): Promise<void> => {
    const body = await readBody(exchange.request);
    const rest = faults.consume('rest');
    if (rest !== undefined) {
      sendRest(exchange.response, rest);
      return;
    }
    if (faults.consume('error') !== undefined) {
      sendJson(exchange.response, 500, { error: 'fault' });
      return;
    }
    if (faults.consume('crash-before-run') !== undefined) return crash();
    const latency = faults.consume('latency')?.milliseconds ?? options.runMilliseconds ?? 0;
    if (latency > 0) await delay(latency);
    const answer = executeRequest(exchange, body);
    if (crashesOn(body) || faults.consume('crash-after-run') !== undefined) return crash();
    if (faults.consume('stall') !== undefined) return;
    const late = faults.consume('late');
    if (late !== undefined) await delay(late.milliseconds);
    const sentAnswer = faults.consume('crossed') === undefined ? answer : previousAnswer;
    previousAnswer = answer;
    send(exchange, sentAnswer);
  };

  const server = await createStandinServer(options.address, [
    ...controlRoutes({ counts: () => counts, faults, crash }),
    { method: '*', pattern: /./u, handle: serve },
  ]);
  return { ...server, crash };
}
