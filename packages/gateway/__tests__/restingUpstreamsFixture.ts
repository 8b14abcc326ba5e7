import { once } from 'node:events';
import {
  createServer,
  request as sendRequest,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import { type AddressInfo } from 'node:net';
import type { DisposalStack } from '@burdockrail/common/disposalStack.js';
import type { EngineRest } from '@burdockrail/protocol/protocolDirectory.js';
import type { EntryContext } from '../src/entryContext.js';
import { createEntryUpstreams } from '../src/entryUpstreams.js';
import { createUpstreamConnections } from '../src/upstreamConnections.js';
import { createEntryContext, createRetryBudget } from './entryContextFixture.js';
import { listenAtFreePort } from './entryRequestFixture.js';

const HOST = '127.0.0.1';
const AGENT_PORT = 7_701;
const SLOTS = 32;

/** Answers a request with the given id. */
export type Answer = (response: ServerResponse, requestId: string) => void;

/** Serves the request. */
export const sound: Answer = (response, requestId) => {
  const body = 'id: 1\ndata: a\n\n';
  response.writeHead(200, {
    'x-request': requestId,
    'x-signed': 'yes',
    'content-length': body.length,
  });
  response.end(body);
};

/** Refuses with a status and the given time of rest, in seconds. */
export function refusing(retryAfter: string, status = 503, otherId: string | null = null): Answer {
  return (response, requestId) => {
    response.writeHead(status, {
      'x-request': otherId ?? requestId,
      'x-not-run': 'yes',
      'retry-after': retryAfter,
    });
    response.end();
  };
}

/** An upstream whose answers the test chooses. */
export interface PlayedUpstream {
  answer: Answer;
  /** Requests that have reached it. */
  arrivals: number;
  startedAt: number;
}

/** Bounds of a played entry. */
export interface PlayOptions {
  readonly maximumConnections?: number;
  readonly maximumRetries?: number;
}

/** What a caller receives. */
export interface Reply {
  readonly status: number;
  readonly retryAfterSeconds: number | null;
}

/** A played entry and its upstreams. */
export interface PlayedEntry {
  readonly upstreams: readonly PlayedUpstream[];
  readonly slots: { claimed: number; released: number; readonly rests: readonly EngineRest[] };
  readonly retriesPaid: () => number;
  /** Holds back the answers of agents to claims until the promise resolves. */
  holdClaims(until: Promise<void>): void;
  ask(path: string): Promise<Reply>;
}

/** An entry server and upstreams, which all serve streams and plain requests; the first is near. */
export async function playEntry(
  disposables: DisposalStack,
  answers: readonly Answer[],
  { maximumConnections, maximumRetries }: PlayOptions = {},
): Promise<PlayedEntry> {
  const upstreams = answers.map((answer) => ({ answer, arrivals: 0, startedAt: 1 }));
  const entries = await Promise.all(
    upstreams.map(async (upstream, index) => {
      const server = createServer((request, response) => {
        request.resume();
        upstream.arrivals += 1;
        upstream.answer(response, String(request.headers['x-request']));
      });
      server.listen(0, HOST);
      await once(server, 'listening');
      disposables.defer(() => {
        server.close();
        server.closeAllConnections();
      });
      return {
        get record() {
          return {
            id: `upstream-${index}`,
            service: 's',
            address: `${HOST}:${(server.address() as AddressInfo).port}`,
            dataCentre: index === 0 ? 'north' : 'south',
            slots: SLOTS,
            state: 'ready',
            startedAt: upstream.startedAt,
            sequence: 1,
            models: [{ model: 'm', version: 1 }],
          };
        },
        silent: false,
        heardAt: 0,
      };
    }),
  );
  const connections = disposables.use(createUpstreamConnections(HOST));
  const base = createEntryContext(connections, '');
  const table = base.clusterView.table;
  const service = table?.service('s');
  const clusterView = {
    ...base.clusterView,
    table:
      table === null || maximumConnections === undefined
        ? table
        : { ...table, service: () => ({ ...service, maximumConnections }) },
    directory: {
      entries,
      ready: () => entries,
      get: (id: string) => entries.find(({ record }) => record.id === id),
    },
  } as unknown as EntryContext['clusterView'];
  const slots = { claimed: 0, released: 0, rests: [] as EngineRest[] };
  let retries = 0;
  let held = Promise.resolve();
  const call = async (_kind: string, claim: { readonly requestId: string }) => {
    slots.claimed += 1;
    await held;
    return {
      kind: 'granted',
      place: slots.claimed,
      engine: claim.requestId,
      version: 1,
      taken: 0,
      waiting: 0,
      places: SLOTS,
      readingMilliseconds: 0,
      freeInMilliseconds: 0,
      requestsPerSecond: null,
    };
  };
  const entry = createEntryContext(connections, '', {
    clusterView,
    upstreams: createEntryUpstreams(clusterView, base.departures),
    client: {
      connectionTo: () => ({ call, retire: () => undefined }),
      notify: (_address: unknown, kind: string, message: unknown) => {
        if (kind === 'place.release') slots.released += 1;
        if (kind === 'place.rest') slots.rests.push(message as EngineRest);
      },
    } as unknown as EntryContext['client'],
    retryBudget: createRetryBudget(() => {
      if (retries === maximumRetries) return false;
      retries += 1;
      return true;
    }),
    settings: { ...base.settings, dataCentre: 'north' },
  });
  const port = await listenAtFreePort(disposables, entry, AGENT_PORT);
  let asked = 0;
  return {
    upstreams,
    slots,
    retriesPaid: () => retries,
    holdClaims: (until) => {
      held = until;
    },
    ask: async (path) => {
      asked += 1;
      const headers = { host: 'a.example', 'x-request': `request-${asked}` };
      const request = sendRequest({ host: HOST, port, path, headers, agent: false }).end();
      const [response] = (await once(request, 'response')) as [IncomingMessage];
      response.resume();
      await once(response, 'end');
      const retryAfter = response.headers['retry-after'];
      return {
        status: response.statusCode ?? 0,
        retryAfterSeconds: retryAfter === undefined ? null : Number(retryAfter),
      };
    },
  };
}
