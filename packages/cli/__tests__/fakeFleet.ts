import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer, type Server } from 'node:http';
import { once } from 'node:events';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { AddressInfo } from 'node:net';
import { digestOf } from '@burdockrail/common/digest.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import type { Address } from '@burdockrail/protocol/protocolAddress.js';
import type {
  CommittedConfiguration,
  ConfigurationApply,
  ConfigurationApplyReply,
} from '@burdockrail/protocol/protocolConfiguration.js';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';
import type { CallHandlers } from '@burdockrail/transport/peerHandlers.js';
import { createPeerServer } from '@burdockrail/transport/peerServer.js';

const MEBIBYTE = 1_048_576;

/** What a test sets and reads of a fake fleet. */
export interface FakeFleetState {
  /** Committed configurations, the first with revision 1. */
  readonly committed: CommittedConfiguration[];
  /** Every order that reached a process. */
  readonly orders: ConfigurationApply[];
  /** Count of orders whose answers get lost after they were carried out. */
  answersToLose: number;
  /** What each of the two entries knows. */
  announcements: Readonly<Record<string, readonly Announcement[]>>;
  formed: boolean;
  /** Name of a process that carries out orders and never answers them. */
  silent: string | null;
}

/** Two processes that answer the command line from a state, and one that is listed but dead. */
export interface FakeFleet extends AsyncDisposable {
  readonly state: FakeFleetState;
  /** Profile file that lists the processes. */
  readonly profile: string;
}

function applyOrder(state: FakeFleetState, order: ConfigurationApply): ConfigurationApplyReply {
  const before = state.orders.findIndex((known) => known.orderId === order.orderId);
  state.orders.push(order);
  const last = state.committed.at(-1);
  const first = state.committed[before];
  if (before >= 0 && first !== undefined) {
    return { kind: 'accepted', revision: first.revision, digest: first.digest };
  }
  const revision = last?.revision ?? 0;
  if (order.expectedRevision !== revision) {
    return { kind: 'conflict', revision, digest: last?.digest ?? '' };
  }
  const digest = digestOf(order.document);
  const { document } = order;
  state.committed.push({ revision: revision + 1, term: 1, digest, document });
  return { kind: 'accepted', revision: revision + 1, digest };
}

function handlersOf(name: string, dataCentre: string, state: FakeFleetState): CallHandlers {
  return {
    'configuration.current': async () => Promise.resolve(state.committed.at(-1) ?? null),
    'configuration.apply': async (order) => {
      const reply = applyOrder(state, order);
      if (state.silent === name) return new Promise(() => undefined);
      if (state.answersToLose === 0) return Promise.resolve(reply);
      state.answersToLose -= 1;
      throw new ResultError(ResultCode.ConnectionLost);
    },
    'cluster.form': async () => {
      const groups = ['fleet', 'ledger.north', 'ledger.south'];
      const reply = state.formed
        ? { formed: [], alreadyFormed: groups }
        : { formed: groups, alreadyFormed: [] };
      state.formed = true;
      return Promise.resolve(reply);
    },
    'membership.list': async () => Promise.resolve(state.announcements[name] ?? []),
    'process.status': async () =>
      Promise.resolve({
        name,
        incarnation: 'i1',
        dataCentre,
        roles: ['entry', 'control'],
        revision: state.committed.at(-1)?.revision ?? 0,
        digest: state.committed.at(-1)?.digest ?? '',
        groups: [
          {
            group: 'fleet',
            member: `${name}#i1`,
            role: name === 'one' ? 'leader' : 'follower',
            term: 3,
            commitIndex: 14,
            leader: 'one#i1',
            voters: ['one#i1', 'two#i1'],
            learners: ['three#i1'],
          },
        ],
        residentBytes: 80 * MEBIBYTE,
        processorMilliseconds: 1_000,
        controlBytesSent: 2_000,
        sentBytesByFamily: { membership: 2_000 },
      }),
  };
}

async function freePort(): Promise<number> {
  const server: Server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

/** Starts the fake processes. */
export async function createFakeFleet(http?: Address): Promise<FakeFleet> {
  const owned = createDisposalStack();
  const state: FakeFleetState = {
    committed: [],
    orders: [],
    answersToLose: 0,
    announcements: {},
    formed: false,
    silent: null,
  };
  const peers: object[] = [];
  for (const [name, dataCentre] of [
    ['one', 'north'],
    ['two', 'south'],
  ] as const) {
    const identity = { name, incarnation: 'i1', dataCentre, roles: ['entry', 'control'] as const };
    const handlers = {
      calls: handlersOf(name, dataCentre, state),
      streams: {},
      notifications: {},
    };
    const server = await createPeerServer({ host: '127.0.0.1', port: 0 }, identity, handlers);
    owned.use(server);
    const page = http === undefined ? {} : { http };
    peers.push({ name, dataCentre, roles: ['entry', 'control'], address: server.address, ...page });
  }
  const dead = { host: '127.0.0.1', port: await freePort() };
  peers.push({ name: 'three', dataCentre: 'west', roles: ['control'], address: dead });
  const folder = await mkdtemp(join(tmpdir(), 'burdockrail-'));
  owned.defer(async () => rm(folder, { recursive: true }));
  const profile = join(folder, 'profile.yaml');
  await writeFile(profile, JSON.stringify({ peers }));
  return { state, profile, [Symbol.asyncDispose]: async () => owned[Symbol.asyncDispose]() };
}
