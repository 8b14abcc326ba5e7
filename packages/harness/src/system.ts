import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { createFaultProxy, type FaultProxy } from '@burdockrail/faultproxy/faultProxy.js';
import { startFaultProxyProcess } from '@burdockrail/faultproxy/faultProxyProcess.js';
import {
  addVersion,
  createStandinClient,
  type EngineClient,
  type OriginClient,
  type PlainClient,
  type WeightStoreClient,
} from '@burdockrail/standins/standinClient.js';
import type { WeightManifest, WeightVersion } from '@burdockrail/standins/weightContent.js';
import { request } from 'undici';
import { createCallerClient, type CallerClient } from './callerClient.js';
import { killChildOnExit } from './daemonProcess.js';
import { createOperatorClient, type OperatorClient } from './operatorClient.js';
import type { PlacedMachine } from './settingsDocument.js';
import { startStandins } from './standinProcesses.js';
import { createSystemLinks, type SystemLinks } from './systemLinks.js';
import type { SystemLayout } from './systemLayout.js';
import { placeSystem, type SystemPlacement } from './systemPlacement.js';
import { createSystemProcesses, type SystemProcesses } from './systemProcesses.js';

/** A running system of real processes; disposal kills them and removes the system's folder. */
export interface System extends AsyncDisposable {
  readonly layout: SystemLayout;
  readonly machines: readonly PlacedMachine[];
  readonly processes: SystemProcesses;
  readonly links: SystemLinks;
  readonly operator: OperatorClient;
  readonly callers: CallerClient;
  readonly origin: OriginClient;
  readonly store: WeightStoreClient;
  machine(name: string): PlacedMachine;
  /** Machines with a role, in layout order. */
  machinesWithRole(role: 'entry' | 'control' | 'agent'): readonly PlacedMachine[];
  /** Machines that run the agents of a service. */
  agentsOf(service: string): readonly PlacedMachine[];
  /** URL at which callers reach an entry. */
  entryUrl(name: string): string;
  engineClient(agent: string): EngineClient;
  plainServiceClient(agent: string): PlainClient;
  /** CPU time of the stand-ins' child processes, in milliseconds. */
  standinProcessorMilliseconds(): Promise<number>;
  /** Adds a version to the store and the origin; returns its digest. */
  publishVersion(version: WeightVersion): Promise<string>;
  fetchManifest(model: string, version: string): Promise<WeightManifest>;
}

async function startProxy(
  placement: SystemPlacement,
  layout: SystemLayout,
): Promise<FaultProxy | undefined> {
  if (placement.proxy === undefined) return undefined;
  if (layout.links?.separateProxyProcess === true)
    return startFaultProxyProcess(placement.proxy, killChildOnExit);
  return createFaultProxy(placement.proxy);
}

/** Starts all processes of a layout; resolves when each daemon is ready. */
export async function startSystem(layout: SystemLayout): Promise<System> {
  const disposables = createDisposalStack();
  try {
    return await startComponents(layout, disposables);
  } catch (error) {
    await disposables[Symbol.asyncDispose]();
    throw error;
  }
}

async function startComponents(
  layout: SystemLayout,
  disposables: ReturnType<typeof createDisposalStack>,
): Promise<System> {
  const folder = await mkdtemp(join(tmpdir(), 'burdockrail-'));
  disposables.defer(async () => rm(folder, { recursive: true, force: true }));
  const placement = await placeSystem(layout, folder);
  const { machines, standins } = placement;
  const proxy = await startProxy(placement, layout);
  if (proxy !== undefined) disposables.use(proxy);
  const runningStandins = disposables.use(
    await startStandins({ versions: layout.versions, standins }, layout.standinProcesses ?? 0),
  );
  const processes = disposables.use(await createSystemProcesses(placement, layout, folder));
  const operator = disposables.use(createOperatorClient(placement.callerHost));
  const callers = disposables.use(createCallerClient(placement.callerHost));
  await Promise.all(machines.map(async ({ name }) => processes.start(name)));

  const urlOf = (name: string): string => {
    const url = runningStandins.urls[name];
    if (url === undefined) throw new Error(`no stand-in is named ${name}`);
    return url;
  };
  const machine = (name: string): PlacedMachine => {
    const found = machines.find((candidate) => candidate.name === name);
    if (found === undefined) throw new Error(`no machine is named ${name}`);
    return found;
  };
  const fetchManifest = async (model: string, version: string): Promise<WeightManifest> => {
    const answer = await request(`${urlOf('store')}/models/${model}/versions/${version}/manifest`);
    return (await answer.body.json()) as WeightManifest;
  };
  return {
    layout,
    machines,
    processes,
    links: createSystemLinks(proxy),
    operator,
    callers,
    origin: createStandinClient(urlOf('origin')),
    store: createStandinClient(urlOf('store')),
    machine,
    machinesWithRole: (role) => machines.filter(({ roles }) => roles.includes(role)),
    agentsOf: (service) => machines.filter((candidate) => candidate.service?.name === service),
    entryUrl: (name) => {
      const { callerHttp } = machine(name);
      if (callerHttp === undefined) throw new Error(`machine ${name} does not have the entry role`);
      return `http://${callerHttp.host}:${callerHttp.port}`;
    },
    engineClient: (agent) => createStandinClient(urlOf(agent)),
    plainServiceClient: (agent) => createStandinClient(urlOf(agent)),
    standinProcessorMilliseconds: async () => runningStandins.processorMilliseconds(),
    publishVersion: async (version) => {
      await addVersion(urlOf('store'), version);
      return (await fetchManifest(version.model, version.version)).digest;
    },
    fetchManifest,
    [Symbol.asyncDispose]: async () => disposables[Symbol.asyncDispose](),
  };
}
