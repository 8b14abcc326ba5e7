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

const BYTES_PER_MEBIBYTE = 1_048_576;

/** State of a fake fleet; tests read and change it. */
export interface FakeFleetState {
  /** Committed configurations in order, starting with revision 1. */
  readonly committed: CommittedConfiguration[];
  /** All orders that reached a process. */
  readonly orders: ConfigurationApply[];
  /** Number of further orders that are applied but whose answers are lost. */
  repliesToDrop: number;
  /** Announcements known to each entry, by the name of the entry. */
  announcements: Readonly<Record<string, readonly Announcement[]>>;
  formed: boolean;
  /** Name of a process that applies orders but never answers them. */
  unresponsiveProcess: string | null;
}

/** Two fake processes that answer the command line, and one address where no process listens. */
export interface FakeFleet extends AsyncDisposable {
  readonly state: FakeFleetState;
  /** Path of the profile that lists the processes. */
  readonly profile: string;
}

function applyOrder(state: FakeFleetState, order: ConfigurationApply): ConfigurationApplyReply {
  const firstOrderIndex = state.orders.findIndex((earlier) => earlier.orderId === order.orderId);
  state.orders.push(order);
  const current = state.committed.at(-1);
  const firstCommitted = state.committed[firstOrderIndex];
  if (firstOrderIndex >= 0 && firstCommitted !== undefined) {
    return { kind: 'accepted', revision: firstCommitted.revision, digest: firstCommitted.digest };
  }
  const revision = current?.revision ?? 0;
  if (order.expectedRevision !== revision) {
    return { kind: 'conflict', revision, digest: current?.digest ?? '' };
  }
  const digest = digestOf(order.document);
  const { document } = order;
  state.committed.push({ revision: revision + 1, term: 1, digest, document });
  return { kind: 'accepted', revision: revision + 1, digest };
}

function createHandlers(name: string, dataCentre: string, state: FakeFleetState): CallHandlers {
  return {
    'configuration.current': async () => Promise.resolve(state.committed.at(-1) ?? null),
    'configuration.apply': async (order) => {
      const reply = applyOrder(state, order);
      if (state.unresponsiveProcess === name) return new Promise(() => undefined);
      if (state.repliesToDrop === 0) return Promise.resolve(reply);
      state.repliesToDrop -= 1;
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
        residentBytes: 80 * BYTES_PER_MEBIBYTE,
        processorMilliseconds: 1_000,
        controlBytesSent: 2_000,
        sentBytesByFamily: { membership: 2_000 },
      }),
  };
}

async function findFreePort(): Promise<number> {
  const server: Server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

export async function createFakeFleet(http?: Address): Promise<FakeFleet> {
  const disposals = createDisposalStack();
  const state: FakeFleetState = {
    committed: [],
    orders: [],
    repliesToDrop: 0,
    announcements: {},
    formed: false,
    unresponsiveProcess: null,
  };
  const peers: object[] = [];
  for (const [name, dataCentre] of [
    ['one', 'north'],
    ['two', 'south'],
  ] as const) {
    const identity = { name, incarnation: 'i1', dataCentre, roles: ['entry', 'control'] as const };
    const handlers = {
      calls: createHandlers(name, dataCentre, state),
      streams: {},
      notifications: {},
    };
    const server = await createPeerServer({ host: '127.0.0.1', port: 0 }, identity, handlers);
    disposals.use(server);
    const httpField = http === undefined ? {} : { http };
    peers.push({
      name,
      dataCentre,
      roles: ['entry', 'control'],
      address: server.address,
      ...httpField,
    });
  }
  const unreachableAddress = { host: '127.0.0.1', port: await findFreePort() };
  peers.push({
    name: 'three',
    dataCentre: 'west',
    roles: ['control'],
    address: unreachableAddress,
  });
  const folder = await mkdtemp(join(tmpdir(), 'burdockrail-'));
  disposals.defer(async () => rm(folder, { recursive: true }));
  const profile = join(folder, 'profile.yaml');
  await writeFile(profile, JSON.stringify({ peers }));
  return { state, profile, [Symbol.asyncDispose]: async () => disposals[Symbol.asyncDispose]() };
}
