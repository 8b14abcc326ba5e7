import { once } from 'node:events';
import {
  createServer,
  request as sendRequest,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import type { DisposalStack } from '@burdockrail/common/disposalStack.js';
import { createDirectoryView, type DirectoryView } from '@burdockrail/membership/directoryView.js';
import type {
  DirectoryWatchReply,
  SlotReply,
  UpstreamRecord,
} from '@burdockrail/protocol/protocolDirectory.js';
import type { EntryContext } from '../src/entryContext.js';
import { createEntryUpstreams } from '../src/entryUpstreams.js';
import { createUpstreamConnections } from '../src/upstreamConnections.js';
import { createUpstreamDepartures, type UpstreamDepartures } from '../src/upstreamDepartures.js';
import { createEntryContext } from './entryContextFixture.js';
import { listenAtFreePort } from './entryRequestFixture.js';

const HOST = '127.0.0.1';
const AGENT_PORT = 7_701;

/** Slots of an upstream; so many that a few requests do not make another one preferable. */
const SLOTS = 100;

const ignore = (): void => undefined;

/** A request that an upstream has received and that the test answers. */
export interface ReceivedRequest {
  readonly id: string;
  readonly answer: (status?: number, headers?: OutgoingHttpHeaders) => void;
  /** Sends the head and the first event of a stream. */
  readonly begin: (headers?: OutgoingHttpHeaders) => void;
  readonly end: () => void;
}

/** An upstream that a test controls. */
export interface TestUpstream {
  readonly port: number;
  readonly received: readonly ReceivedRequest[];
  /** Answers each request at once while it is set. */
  respond: ((request: ReceivedRequest) => void) | null;
}

async function startUpstream(disposables: DisposalStack): Promise<TestUpstream> {
  const received: ReceivedRequest[] = [];
  const accept = (request: IncomingMessage, response: ServerResponse): void => {
    request.resume();
    const id = String(request.headers['x-request']);
    const head = { 'x-request': id, 'x-signed': 'yes' };
    const receivedRequest: ReceivedRequest = {
      id,
      answer: (status = 200, headers = {}) => {
        response.writeHead(status, { ...head, ...headers });
        response.end('id: 1\ndata: a\n\n');
      },
      begin: (headers = {}) => {
        response.writeHead(200, { ...head, ...headers });
        response.write('id: 1\ndata: a\n\n');
      },
      end: () => response.end('id: 2\ndata: b\n\n'),
    };
    received.push(receivedRequest);
    upstream.respond?.(receivedRequest);
  };
  const server = createServer(accept).listen(0, HOST);
  await once(server, 'listening');
  disposables.defer(() => {
    server.close();
    server.closeAllConnections();
  });
  const upstream: TestUpstream = {
    port: (server.address() as AddressInfo).port,
    received,
    respond: (request) => {
      request.answer();
    },
  };
  return upstream;
}

/** What a caller received. */
export interface CallerAnswer {
  readonly status: number;
  readonly body: string;
}

/** Answer of an agent that grants a slot. */
const grant = {
  kind: 'granted',
  version: 1,
  taken: 1,
  waiting: 0,
  places: SLOTS,
  requestsPerSecond: null,
} as SlotReply;

/** An entry server with two upstreams that tests control. */
export interface TwoUpstreamEntry {
  /** The upstream that the entry prefers. */
  readonly near: TestUpstream;
  readonly far: TestUpstream;
  readonly directory: DirectoryView;
  readonly events: readonly string[];
  /** Sends a request of a caller; the path decides between a stream and a buffered answer. */
  readonly send: (id: string, path: string) => Promise<CallerAnswer>;
  /** Announces another incarnation of the preferred upstream at the same address. */
  readonly restartNear: () => void;
  /** Announces that the preferred upstream takes no more requests. */
  readonly drainNear: () => void;
  /** Keeps the agents from answering claims; returns a function that ends this. */
  readonly holdClaims: () => { readonly waiting: () => number; readonly release: () => void };
}

/** Starts the server; the directory says that both upstreams are ready. */
export async function startTwoUpstreamEntry(disposables: DisposalStack): Promise<TwoUpstreamEntry> {
  const near = await startUpstream(disposables);
  const far = await startUpstream(disposables);
  const directory = createDirectoryView();
  const record = (id: string, port: number, dataCentre: string, startedAt: number) => {
    const state = 'ready' as UpstreamRecord['state'];
    const models = [{ model: 'm', version: 1 }];
    const address = `${HOST}:${port}`;
    return {
      id,
      service: 's',
      address,
      dataCentre,
      slots: SLOTS,
      state,
      startedAt,
      sequence: 1,
      models,
    };
  };
  const announce = (records: readonly UpstreamRecord[]): void => {
    const relayed = records.map((item) => ({ record: item, silent: false, ageMilliseconds: 0 }));
    const update = { complete: false, informedMilliseconds: 0, records: relayed, departures: [] };
    directory.apply(update as unknown as DirectoryWatchReply, 0);
    departures?.directoryChanged();
  };
  let departures: UpstreamDepartures | null = null;
  announce([record('near', near.port, 'north', 1), record('far', far.port, 'south', 1)]);

  const events: string[] = [];
  let claimsHeld: (() => void)[] | null = null;
  const call = async (): Promise<SlotReply> => {
    const held = claimsHeld;
    if (held === null) return Promise.resolve(grant);
    return new Promise((resolve) => {
      held.push(() => {
        resolve(grant);
      });
    });
  };
  const connections = disposables.use(createUpstreamConnections(HOST));
  const base = createEntryContext(connections, '');
  const log = { write: (event: string) => events.push(event) };
  const clusterView = { ...base.clusterView, table: base.clusterView.table, directory, index: 0 };
  // The fewest connections that an entry may open, so that requests wait for one.
  const table = { ...clusterView.table, service: () => ({ maximumConnections: 1, engine: null }) };
  departures = createUpstreamDepartures({ ...base, log }, directory);
  const view = { ...clusterView, table } as unknown as EntryContext['clusterView'];
  const entry = createEntryContext(connections, '', {
    log: log as unknown as EntryContext['log'],
    settings: { ...base.settings, dataCentre: 'north' },
    clusterView: view,
    departures,
    upstreams: createEntryUpstreams(view, departures),
    client: {
      connectionTo: () => ({ call, retire: ignore }),
      notify: ignore,
    } as unknown as EntryContext['client'],
  });
  const port = await listenAtFreePort(disposables, entry, AGENT_PORT);
  return {
    near,
    far,
    directory,
    events,
    send: async (id, path) => {
      const headers = { host: 'a.example', 'x-request': id };
      const outgoing = sendRequest({ host: HOST, port, path, headers, agent: false });
      outgoing.end();
      const [response] = (await once(outgoing, 'response')) as [IncomingMessage];
      let body = '';
      for await (const bytes of response) body += String(bytes);
      return { status: response.statusCode ?? 0, body };
    },
    restartNear: () => {
      announce([record('near', near.port, 'north', 2)]);
    },
    drainNear: () => {
      const draining = record('near', near.port, 'north', 1);
      announce([{ ...draining, state: 'draining', sequence: 2 }]);
    },
    holdClaims: () => {
      const held: (() => void)[] = [];
      claimsHeld = held;
      return {
        waiting: () => held.length,
        release: () => {
          claimsHeld = null;
          for (const release of held) release();
        },
      };
    },
  };
}
