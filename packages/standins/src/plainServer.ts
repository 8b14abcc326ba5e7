import { setTimeout as delay } from 'node:timers/promises';
import { digestOf } from '@burdockrail/common/digest.js';
import { createFaultSet, type FaultBase } from './faultSet.js';
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

/** Time for which a crashed service refuses connections, in milliseconds. */
const DOWN_MILLISECONDS = 300;

/** Faults of a plain service. */
export type PlainFault = FaultBase &
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
  );

/** What a plain service was asked for; outlasts its crashes. */
export interface PlainCounts {
  runs: number;
  crashes: number;
  readonly runsByKey: Record<string, number>;
  readonly runsByTestKey: Record<string, number>;
}

/** Answer of a plain service. */
export interface PlainAnswer {
  readonly requestId: string | null;
  readonly key: string | null;
  /** How often the service ran a request under this key, this one included. */
  readonly run: number;
  readonly method: string;
  readonly path: string;
  readonly bodyDigest: string;
}

/** Options of {@link createPlainServer}. */
export interface PlainOptions {
  readonly address: StandinAddress;
  /** Time that each run takes, in milliseconds. */
  readonly runMilliseconds?: number;
}

function increment(table: Record<string, number>, key: string | undefined): number {
  if (key === undefined) return 0;
  const next = (table[key] ?? 0) + 1;
  table[key] = next;
  return next;
}

/** Starts a service that counts how often it ran each request. */
export async function createPlainServer(options: PlainOptions): Promise<StandinServer> {
  const faults = createFaultSet<PlainFault>();
  const counts: PlainCounts = { runs: 0, crashes: 0, runsByKey: {}, runsByTestKey: {} };
  let previous: PlainAnswer = {
    requestId: 'another-request',
    key: null,
    run: 1,
    method: 'POST',
    path: '/',
    bodyDigest: digestOf('another body'),
  };

  const crash = async (downMilliseconds = DOWN_MILLISECONDS): Promise<void> => {
    counts.crashes += 1;
    await server.crash(downMilliseconds);
  };

  const run = ({ request, url }: StandinExchange, body: Buffer): PlainAnswer => {
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
    const headers = { 'content-type': 'application/json', 'content-length': text.length };
    response.writeHead(200, { ...headers, 'x-request-id': answer.requestId ?? '' });
    if (faults.take('cut') !== undefined) {
      response.write(text.slice(0, text.length / 2), () => response.destroy());
      return;
    }
    const { socket } = response;
    const again = faults.take('twice') !== undefined;
    response.end(text, () => {
      if (again) socket?.write(`HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n${text}`);
    });
  };

  const crashesOn = (body: Buffer): boolean =>
    faults.take('crash', (fault) => body.includes(fault.marker)) !== undefined;

  const serve = async (exchange: StandinExchange): Promise<void> => {
    const body = await readBody(exchange.request);
    if (faults.take('error') !== undefined) {
      sendJson(exchange.response, 500, { error: 'fault' });
      return;
    }
    if (faults.take('crash-before-run') !== undefined) return crash();
    const latency = faults.take('latency')?.milliseconds ?? options.runMilliseconds ?? 0;
    if (latency > 0) await delay(latency);
    const answer = run(exchange, body);
    if (crashesOn(body) || faults.take('crash-after-run') !== undefined) return crash();
    if (faults.take('stall') !== undefined) return;
    const late = faults.take('late');
    if (late !== undefined) await delay(late.milliseconds);
    const shown = faults.take('crossed') === undefined ? answer : previous;
    previous = answer;
    send(exchange, shown);
  };

  const server = await createStandinServer(options.address, [
    ...controlRoutes({ counts: () => counts, faults, crash }),
    { method: '*', pattern: /./u, handle: serve },
  ]);
  return { ...server, crash };
}
