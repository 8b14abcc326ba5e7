import { canonicalJson, digestOf } from '@burdockrail/common/digest.js';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { createSeededRandom } from '@burdockrail/common/seededRandom.js';
import { monotonicClock } from '@burdockrail/common/timeSource.js';
import type { FleetConfigurationInput } from '@burdockrail/fleet/fleetConfiguration.js';
import { createLedgerState } from '@burdockrail/ledger/ledgerState.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import type { LedgerCommand, LedgerQuery } from '@burdockrail/protocol/protocolLedger.js';
import type { GroupClient } from '../src/groupClient.js';
import type { Address, PeerIdentity } from '@burdockrail/protocol/protocolAddress.js';
import type {
  AttemptFence,
  AttemptFenceReply,
  AttemptItem,
  AttemptStart,
} from '@burdockrail/protocol/protocolAttempt.js';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';
import { settingsSchema } from '@burdockrail/settings/settingsSchema.js';
import { createTrafficMeter } from '@burdockrail/transport/trafficMeter.js';
import { createPeerClient } from '@burdockrail/transport/peerClient.js';
import { createPeerServer } from '@burdockrail/transport/peerServer.js';
import { start, stop } from 'nact';
import { createConfigurationHolder } from '../src/configurationHolder.js';
import type { DaemonContext } from '../src/daemonRole.js';
import { createEntryRoleWith } from '../src/entryRole.js';

/** Handles an attempt by sending the items of its answer. */
export type AttemptHandler = (
  attempt: AttemptStart,
  send: (item: AttemptItem) => Promise<void>,
) => Promise<void>;

const loopback: Address = { host: '127.0.0.1', port: 0 };
const silentLog = { write: () => undefined };
const encoder = new TextEncoder();

/** Fleet with a model and a plain service that has one non-repeatable route. */
export const testFleet: FleetConfigurationInput = {
  fleet: 'test',
  dataCentres: [{ name: 'one', region: 'north' }],
  services: [
    { name: 'model', kind: 'model', home: 'one', upstreams: { one: 2 } },
    {
      name: 'ledger',
      kind: 'plain',
      home: 'one',
      upstreams: { one: 1 },
      routes: [{ method: 'POST', path: '/deposit', repeatable: false }],
    },
  ],
  teams: [{ name: 'desk' }, { name: 'piers' }],
};

/** Sends the items of a complete answer. */
export async function sendCompleteAnswer(
  attemptId: string,
  send: (item: AttemptItem) => Promise<void>,
  text: string,
  contentType = 'application/json',
): Promise<void> {
  const headers = { 'content-type': contentType };
  await send({ kind: 'head', attemptId, status: 200, headers, versionDigest: 'a'.repeat(64) });
  await send({ kind: 'data', attemptId, bytes: encoder.encode(text) });
  await send({ kind: 'end', attemptId });
}

/** Starts an agent that answers attempts with the given handlers. */
export async function createFakeAgent(
  name: string,
  handleAttempt: AttemptHandler,
  overrides: Partial<Announcement> = {},
  handleFence: (request: AttemptFence) => AttemptFenceReply = () => ({ kind: 'fenced' }),
): Promise<AsyncDisposable & { readonly announcement: Announcement }> {
  const identity: PeerIdentity = { name, incarnation: '1', dataCentre: 'one', roles: ['agent'] };
  const server = await createPeerServer(loopback, identity, {
    calls: { 'attempt.fence': async (request) => Promise.resolve(handleFence(request)) },
    streams: {
      'attempt.run': async (attempt, sink) =>
        handleAttempt(attempt, async (item) => sink.write(item)),
    },
    notifications: {},
  });
  return {
    announcement: {
      agent: name,
      incarnation: '1',
      sequence: 1,
      dataCentre: 'one',
      region: 'north',
      address: server.address,
      service: 'model',
      state: 'present',
      ready: true,
      prefixes: [],
      ...overrides,
    },
    [Symbol.asyncDispose]: async () => server[Symbol.asyncDispose](),
  };
}

/** Creates an in-process replacement of the quorum groups with a single ledger. */
export function createFakeGroups(): GroupClient {
  const ledger = createLedgerState();
  let index = 0;
  return {
    propose: async (_group, command) => {
      index += 1;
      return Promise.resolve(ledger.apply(command as LedgerCommand, { index, term: 1 }));
    },
    query: async (_group, query) => Promise.resolve(ledger.query(query as LedgerQuery)),
  };
}

/** Groups whose quorum is unreachable. */
export const unreachableGroups: GroupClient = {
  propose: async () => Promise.reject(new ResultError(ResultCode.QuorumUnreachable)),
  query: async () => Promise.reject(new ResultError(ResultCode.QuorumUnreachable)),
};

/** An entry in this process. */
export interface TestEntry extends AsyncDisposable {
  readonly url: string;
  readonly drain: () => Promise<void>;
  /** Announces an upstream; rejects if the entry does. */
  readonly announce: (announcement: Announcement) => Promise<void>;
}

/** Starts an entry in this process with the given upstreams. */
export async function startEntry(
  announcements: readonly Announcement[],
  groups: GroupClient = createFakeGroups(),
  entrySettings: object = {},
): Promise<TestEntry> {
  let listenAddress = '';
  const settings = settingsSchema.parse({
    name: 'entry',
    dataCentre: 'one',
    region: 'north',
    listen: loopback,
    peers: [],
    entry: { http: loopback, defaultTimeoutMilliseconds: 3_000, ...entrySettings },
  });
  const identity: PeerIdentity = {
    name: 'entry',
    incarnation: '1',
    dataCentre: 'one',
    roles: ['entry'],
  };
  const log: DaemonContext['log'] = {
    write: (event, fields) => {
      if (event === 'entryListening') listenAddress = String(fields?.address);
    },
  };
  const disposables = createDisposalStack();
  const client = disposables.use(createPeerClient({ identity }));
  const actors = start();
  disposables.defer(() => {
    stop(actors);
  });
  const context: DaemonContext = {
    settings,
    identity,
    advertised: loopback,
    client,
    traffic: createTrafficMeter(),
    time: monotonicClock,
    random: createSeededRandom(1),
    log,
    actors,
    configuration: createConfigurationHolder(silentLog),
  };
  const document = canonicalJson(testFleet);
  context.configuration.offer({ revision: 1, term: 1, digest: digestOf(document), document });
  const role = disposables.use(createEntryRoleWith(context, { groups }));
  await role.start();
  const announce = async (announcement: Announcement): Promise<void> => {
    const peer = { ...identity, name: announcement.agent };
    const signal = new AbortController().signal;
    await role.handlers.calls?.['membership.announce']?.(announcement, { peer, signal });
  };
  for (const announcement of announcements) await announce(announcement);
  return {
    url: `http://${listenAddress}`,
    drain: async () => role.drain(),
    announce,
    [Symbol.asyncDispose]: async () => disposables[Symbol.asyncDispose](),
  };
}
