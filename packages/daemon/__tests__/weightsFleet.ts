import { setTimeout as delay } from 'node:timers/promises';
import { createDisposalStack, type DisposalStack } from '@burdockrail/common/disposalStack.js';
import { createSeededRandom } from '@burdockrail/common/seededRandom.js';
import { monotonicClock } from '@burdockrail/common/timeSource.js';
import type { Address, PeerIdentity } from '@burdockrail/protocol/protocolAddress.js';
import type { CommittedConfiguration } from '@burdockrail/protocol/protocolConfiguration.js';
import type { UpstreamDirectory, UpstreamView } from '@burdockrail/membership/upstreamDirectory.js';
import { createRolloutMembersHandlers } from '../src/weightsDirectory.js';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';
import { settingsSchema } from '@burdockrail/settings/settingsSchema.js';
import { createEngineServer, type EngineOptions } from '@burdockrail/standins/engineServer.js';
import { createOriginServer, type OriginCounts } from '@burdockrail/standins/originServer.js';
import { createWeightCatalogue } from '@burdockrail/standins/weightCatalogue.js';
import type { WeightVersion } from '@burdockrail/standins/weightContent.js';
import { createWeightStoreServer } from '@burdockrail/standins/weightStoreServer.js';
import { createTrafficMeter } from '@burdockrail/transport/trafficMeter.js';
import { createPeerClient } from '@burdockrail/transport/peerClient.js';
import { createPeerServer } from '@burdockrail/transport/peerServer.js';
import { start, stop } from 'nact';
import type { AgentUpstream } from '../src/agentUpstream.js';
import { createModelUpstream } from '../src/agentModelUpstream.js';
import { createAttemptGate } from '../src/attemptGate.js';
import { createAttemptUpstream } from '../src/attemptUpstream.js';
import { createConfigurationHolder } from '../src/configurationHolder.js';
import type { DaemonContext } from '../src/daemonRole.js';

const HOST = '127.0.0.1';
const loopback: Address = { host: HOST, port: 0 };
const WAIT_TIMEOUT_MILLISECONDS = 20_000;
const POLL_INTERVAL_MILLISECONDS = 20;
const silentLog = { write: () => undefined };

/** An agent and its engine, both in the test process. */
export interface FleetAgent extends AsyncDisposable {
  readonly name: string;
  readonly upstream: AgentUpstream;
  readonly engineUrl: string;
  readonly offer: (committed: CommittedConfiguration) => void;
}

/** Agents with simulated engines, weight store, origin and registrar. */
export interface Fleet {
  readonly agents: readonly FleetAgent[];
  /** Offers all agents a configuration with this version. */
  readonly applyVersion: (version: string, adapters?: readonly string[]) => void;
  readonly digestOf: (version: string) => string;
  readonly originBytes: (version: string) => Promise<number>;
  readonly originUrl: string;
  /** Stops an agent and removes its announcement, as an expired lease would. */
  readonly removeAgent: (agent: FleetAgent) => Promise<void>;
}

/** Waits until a condition holds; throws on timeout. */
export async function waitUntil(
  description: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadline = monotonicClock.now() + WAIT_TIMEOUT_MILLISECONDS;
  while (!(await condition())) {
    if (monotonicClock.now() > deadline) throw new Error(`timed out waiting until ${description}`);
    await delay(POLL_INTERVAL_MILLISECONDS);
  }
}

/** Posts to a control path of a simulated service. */
export async function postControl(url: string, path: string, body: unknown): Promise<void> {
  await fetch(`${url}/control/${path}`, { method: 'POST', body: JSON.stringify(body) });
}

function identityOf(name: string, dataCentre: string): PeerIdentity {
  return { name, incarnation: `${name}-1`, dataCentre, roles: ['agent'] };
}

interface FleetOptions {
  readonly versions: readonly WeightVersion[];
  readonly dataCentreCount: number;
  readonly agentsPerDataCentre: number;
  readonly engine?: EngineOptions['settings'];
  readonly weightBytesPerSecond?: number;
}

const MODEL = 'fogo';

function fleetDocument(
  version: string,
  dataCentreCount: number,
  adapters: readonly string[],
): string {
  const names = Array.from({ length: dataCentreCount }, (_item, index) => `dc${index}`);
  return JSON.stringify({
    fleet: 'test',
    dataCentres: names.map((name) => ({ name, region: name })),
    services: [
      {
        name: 'model',
        kind: 'model',
        home: 'dc0',
        upstreams: {},
        weights: { model: MODEL, version },
        adapters: adapters.map((adapter) => ({ model: adapter, version: 'one' })),
      },
    ],
    teams: [],
  });
}

/** Starts a fleet whose agents have no weights. */
export async function createFleet(
  disposables: DisposalStack,
  options: FleetOptions,
): Promise<Fleet> {
  const catalogue = createWeightCatalogue(options.versions);
  const store = disposables.use(await createWeightStoreServer({ address: loopback, catalogue }));
  const origin = disposables.use(await createOriginServer({ address: loopback, catalogue }));
  const announcements = new Map<string, () => Announcement>();
  let committed: CommittedConfiguration | null = null;
  const listAnnouncements = (): readonly Announcement[] =>
    [...announcements.values()].map((announce) => announce());
  const listViews = (): readonly UpstreamView[] =>
    listAnnouncements().map((announcement) => ({ announcement, confirmedAt: 0 }));
  const directory: UpstreamDirectory = {
    entryCount: () => 1,
    all: listViews,
    upstreamsOf: listViews,
    upstream: () => undefined,
  };
  const registrar = disposables.use(
    await createPeerServer(loopback, identityOf('entry', 'dc0'), {
      calls: {
        ...createRolloutMembersHandlers(directory, monotonicClock).calls,
        'membership.list': async () => Promise.resolve(listAnnouncements()),
        'configuration.current': async () => Promise.resolve(committed),
      },
      streams: {},
      notifications: {},
    }),
  );

  const createAgent = async (name: string, dataCentre: string): Promise<FleetAgent> => {
    const agentDisposables = createDisposalStack();
    const engine = agentDisposables.use(
      await createEngineServer({
        address: loopback,
        ...(options.engine === undefined ? {} : { settings: options.engine }),
      }),
    );
    const settings = settingsSchema.parse({
      name,
      dataCentre,
      region: dataCentre,
      listen: { host: HOST, port: 1 },
      peers: [
        { name: 'entry', dataCentre, roles: ['entry', 'control'], address: registrar.address },
      ],
      agent: {
        service: 'model',
        upstream: { kind: 'model', url: engine.url },
        weightStore: store.url,
        origin: origin.url,
        ...(options.weightBytesPerSecond === undefined
          ? {}
          : { weightBytesPerSecond: options.weightBytesPerSecond }),
      },
    });
    const identity = identityOf(name, dataCentre);
    const actors = start();
    agentDisposables.defer(() => {
      stop(actors);
    });
    const context: DaemonContext = {
      settings,
      identity,
      advertised: { ...loopback },
      client: agentDisposables.use(createPeerClient({ identity })),
      traffic: createTrafficMeter(),
      time: monotonicClock,
      random: createSeededRandom(1),
      log: silentLog,
      actors,
      configuration: createConfigurationHolder(silentLog),
    };
    if (settings.agent === undefined) throw new Error('no agent settings');
    const upstream = agentDisposables.use(
      createModelUpstream({
        context,
        settings: settings.agent,
        attemptUpstream: agentDisposables.use(createAttemptUpstream(engine.url, HOST)),
        onChanged: () => undefined,
        gate: createAttemptGate(),
      }),
    );
    const handlers = { calls: {}, streams: {}, notifications: {}, ...upstream.handlers };
    const server = agentDisposables.use(await createPeerServer(loopback, identity, handlers));
    Object.assign(context.advertised, server.address);
    announcements.set(name, () => ({
      agent: name,
      incarnation: identity.incarnation,
      sequence: 1,
      dataCentre,
      region: dataCentre,
      address: server.address,
      service: 'model',
      state: 'present',
      ...upstream.announcement,
    }));
    await upstream.start();
    return {
      name,
      upstream,
      engineUrl: engine.url,
      offer: (committed) => {
        context.configuration.offer(committed);
      },
      [Symbol.asyncDispose]: async () => agentDisposables[Symbol.asyncDispose](),
    };
  };

  const agents: FleetAgent[] = [];
  for (let dataCentre = 0; dataCentre < options.dataCentreCount; dataCentre += 1) {
    for (let place = 0; place < options.agentsPerDataCentre; place += 1) {
      const name = `agent-${dataCentre}-${place}`;
      agents.push(disposables.use(await createAgent(name, `dc${dataCentre}`)));
    }
  }

  return {
    agents,
    applyVersion: (version, adapters = []) => {
      const revision = (committed?.revision ?? 0) + 1;
      const text = fleetDocument(version, options.dataCentreCount, adapters);
      const next: CommittedConfiguration = { revision, term: 1, digest: '', document: text };
      committed = next;
      for (const agent of agents) agent.offer(next);
    },
    digestOf: (version) => catalogue.find(MODEL, version)?.manifest.digest ?? '',
    originUrl: origin.url,
    originBytes: async (version) => {
      const response = await fetch(`${origin.url}/control/counts`);
      const counts = (await response.json()) as OriginCounts;
      return counts.bytesByVersion[`${MODEL}/${version}`] ?? 0;
    },
    removeAgent: async (agent) => {
      announcements.delete(agent.name);
      await agent[Symbol.asyncDispose]();
    },
  };
}

/** Waits until agents announce a version; throws if an engine then reports another digest. */
export async function awaitServing(
  fleet: Fleet,
  version: string,
  agents: readonly FleetAgent[] = fleet.agents,
): Promise<void> {
  const digest = fleet.digestOf(version);
  await waitUntil(`${version} is live`, () =>
    agents.every(({ upstream }) => upstream.announcement.serving?.digest === digest),
  );
  for (const { engineUrl } of agents) {
    const response = await fetch(`${engineUrl}/load`);
    const load = (await response.json()) as { readonly digest: string };
    if (load.digest !== digest) throw new Error(`the engine holds ${load.digest}`);
  }
}
