import { once } from 'node:events';
import { createServer, type RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import type { DisposalStack } from '@burdockrail/common/disposalStack.js';
import { monotonicClock } from '@burdockrail/common/timeSource.js';
import type { AttemptItem, AttemptStart } from '@burdockrail/protocol/protocolAttempt.js';
import { createAttemptGate, type AttemptGate } from '../src/attemptGate.js';
import { createAttemptService, type AttemptService } from '../src/attemptService.js';
import { createAttemptUpstream } from '../src/attemptUpstream.js';
import { createUpstreamDeparture } from '../src/upstreamDeparture.js';

const HOST = '127.0.0.1';
export const DIGEST = 'd'.repeat(64);
/** Time in which an agent notices that its upstream has ended or started, in milliseconds. */
export const RESTART_MILLISECONDS = 400;

const silentLog = { write: () => undefined };
export const peer = { name: 'entry', incarnation: 'e', dataCentre: 'x', roles: [] };

interface Fixture {
  readonly service: AttemptService;
  /** Closes the upstream's server and connections, as a crash of its process does. */
  readonly crash: () => void;
  /** Lets another process take the upstream's place after a while. */
  readonly restart: () => Promise<void>;
  /** Whether the upstream was leaving, at each change. */
  readonly announced: readonly boolean[];
  readonly gate: AttemptGate;
  /** Lets the agent notice that the upstream has started again. */
  readonly noticeRestart: () => void;
  readonly run: (
    overrides?: Partial<AttemptStart>,
    signal?: AbortSignal,
  ) => Promise<readonly AttemptItem[]>;
}

/** Starts the attempt service of an agent before an HTTP upstream. */
export async function createFixture(
  disposables: DisposalStack,
  listener: RequestListener,
  { closesConnections = true } = {},
): Promise<Fixture> {
  const server = createServer(listener);
  server.listen(0, HOST);
  await once(server, 'listening');
  const crash = (): void => {
    server.close();
    server.closeAllConnections();
  };
  disposables.defer(crash);
  const { port } = server.address() as AddressInfo;
  const upstream = disposables.use(createAttemptUpstream(`http://${HOST}:${port}`, HOST));
  const departure = disposables.use(
    createUpstreamDeparture({
      upstream,
      log: silentLog,
      onChanged: () => {
        announced.push(departure.isLeaving);
      },
    }),
  );
  const announced: boolean[] = [];
  const gate = createAttemptGate();
  let restarts = 0;
  const service = createAttemptService({
    upstream,
    allowsDigest: (digest) => digest === DIGEST,
    gate,
    incarnation: 'one',
    service: 'model',
    time: monotonicClock,
    log: silentLog,
    servedDigest: () => DIGEST,
    isReady: () => !departure.isLeaving,
    departure,
    upstreamRestarts: () => restarts,
    onRestBegun: () => undefined,
  });
  const start: AttemptStart = {
    attemptId: 'attempt',
    service: 'model',
    team: 'guests',
    priority: 1,
    method: 'POST',
    path: '/v1/completions',
    headers: { 'content-type': 'application/json' },
    body: Buffer.from('{}'),
    timeoutMilliseconds: 2_000,
  };
  return {
    service,
    crash,
    announced,
    gate,
    restart: async () => {
      if (closesConnections) crash();
      else server.close();
      await pause(RESTART_MILLISECONDS);
      const next = createServer(listener).listen(port, HOST);
      await once(next, 'listening');
      disposables.defer(() => {
        next.close();
        next.closeAllConnections();
      });
      await pause(RESTART_MILLISECONDS);
    },
    noticeRestart: () => {
      restarts += 1;
    },
    run: async (overrides = {}, signal = new AbortController().signal) => {
      const items: AttemptItem[] = [];
      const sink = {
        write: async (item: AttemptItem) => {
          items.push(item);
          return Promise.resolve();
        },
      };
      const handler = service.handlers.streams?.['attempt.run'];
      await handler?.({ ...start, ...overrides }, sink, { peer, signal });
      return items;
    },
  };
}

/** Body that the items of an attempt contain. */
export function concatBody(items: readonly AttemptItem[]): string {
  const parts = items.flatMap((item) => (item.kind === 'data' ? [item.bytes] : []));
  return Buffer.concat(parts).toString();
}

/** One server-sent event. */
export function encodeEvent(id: number, data: string): string {
  return `id: ${id}\ndata: ${data}\n\n`;
}

/** Head of a stream of the attempt that the fixture starts. */
export const streamHeaders = {
  'content-type': 'text/event-stream',
  'x-request-id': 'attempt',
  'x-weights-digest': DIGEST,
};
