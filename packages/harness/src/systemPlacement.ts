import { join } from 'node:path';
import type { Address } from '@burdockrail/protocol/protocolAddress.js';
import type { FaultProxyDescription } from '@burdockrail/faultproxy/faultProxy.js';
import type { LinkListener, LinkMachine } from '@burdockrail/faultproxy/linkMachine.js';
import { OUTSIDE_REGION } from '@burdockrail/faultproxy/linkShape.js';
import type { StandinDescription } from '@burdockrail/standins/standinHost.js';
import { createAddressPlan, findFreeAddress, type AddressPlan } from './addressPlan.js';
import type { LinkSettings } from './linkSettings.js';
import type { PlacedMachine, ExternalUrls } from './settingsDocument.js';
import { layoutMachines, type MachineLayout, type SystemLayout } from './systemLayout.js';

/** The port that a process listens on and the port that others connect to, on the same machine. */
interface PlacedPort {
  readonly bound: Address;
  /** The proxy's port; the same as `bound` without a proxy. */
  readonly advertised: Address;
}

/** Assigned addresses of all processes of a system. */
export interface SystemPlacement {
  readonly machines: readonly PlacedMachine[];
  readonly urls: ExternalUrls;
  /** Stand-ins `origin` and `store`, and one per agent under the agent's name. */
  readonly standins: readonly StandinDescription[];
  readonly callerHost: string;
  /** Absent when processes connect to each other directly. */
  readonly proxy?: FaultProxyDescription;
}

/** Name of the machine from which callers and operators connect. */
export const CALLER_MACHINE = 'callers';

function httpUrl(address: Address): string {
  return `http://${address.host}:${address.port}`;
}

async function allocatePort(host: string, proxied: boolean): Promise<PlacedPort> {
  const bound = await findFreeAddress(host);
  return { bound, advertised: proxied ? await findFreeAddress(host) : bound };
}

function standinOf(machine: MachineLayout, address: Address): StandinDescription {
  const { name, service } = machine;
  if (service?.kind === 'plain') {
    const { runMilliseconds } = service;
    const duration = runMilliseconds === undefined ? {} : { runMilliseconds };
    return { kind: 'plain', name, address, ...duration };
  }
  const checksFencing = service?.checksFencing ?? false;
  const settings = { checksFencing, ...service?.engine };
  return { kind: 'engine', name, address, settings };
}

function linkMachines(
  machines: readonly PlacedMachine[],
  addresses: AddressPlan,
  links: LinkSettings,
): readonly LinkMachine[] {
  const machineBytesPerSecond = links.machineBytesPerSecond;
  const machineRates =
    machineBytesPerSecond === undefined
      ? {}
      : {
          egressBytesPerSecond: machineBytesPerSecond,
          ingressBytesPerSecond: machineBytesPerSecond,
        };
  const outside = { dataCentre: OUTSIDE_REGION, region: OUTSIDE_REGION };
  const originBytesPerSecond = links.originBytesPerSecond;
  const originRates =
    originBytesPerSecond === undefined ? {} : { egressBytesPerSecond: originBytesPerSecond };
  return [
    ...machines.map(({ name, dataCentre, region, listen }) => ({
      name,
      host: listen.host,
      dataCentre,
      region,
      ...machineRates,
    })),
    { name: 'origin', host: addresses.originHost, ...outside, ...originRates },
    { name: 'store', host: addresses.storeHost, ...outside },
    { name: CALLER_MACHINE, host: addresses.callerHost, ...outside },
  ];
}

function createListener(machine: string, port: PlacedPort): LinkListener {
  return { machine, listen: port.advertised, target: port.bound };
}

/** Assigns addresses to all processes of a layout. */
export async function placeSystem(layout: SystemLayout, folder: string): Promise<SystemPlacement> {
  const { links } = layout;
  const proxied = links !== undefined;
  const addresses = createAddressPlan();
  const origin = await allocatePort(addresses.originHost, proxied);
  const store = await allocatePort(addresses.storeHost, proxied);
  const listeners: LinkListener[] = [
    createListener('origin', origin),
    createListener('store', store),
  ];
  const standins: StandinDescription[] = [
    { kind: 'origin', name: 'origin', address: origin.bound, ...originRate(layout) },
    { kind: 'store', name: 'store', address: store.bound, ...storeRate(layout) },
  ];

  const placeMachine = async (machine: MachineLayout, host: string): Promise<PlacedMachine> => {
    const port = await allocatePort(host, proxied);
    const http = machine.roles.includes('entry') ? await allocatePort(host, proxied) : undefined;
    listeners.push(createListener(machine.name, port));
    if (http !== undefined) listeners.push(createListener(machine.name, http));
    const upstream = machine.service === undefined ? undefined : await findFreeAddress(host);
    if (upstream !== undefined) standins.push(standinOf(machine, upstream));
    return {
      ...machine,
      listen: port.bound,
      advertise: port.advertised,
      dataFolder: join(folder, machine.name),
      ...(http === undefined ? {} : { http: http.bound, callerHttp: http.advertised }),
      ...(upstream === undefined ? {} : { upstreamUrl: httpUrl(upstream) }),
    };
  };

  const dataCentreNames = layout.dataCentres.map(({ name }) => name);
  const nextMachineNumbers = dataCentreNames.map(() => 0);
  const machines = await Promise.all(
    layoutMachines(layout).map(async (machine) => {
      const dataCentre = dataCentreNames.indexOf(machine.dataCentre);
      const number = nextMachineNumbers[dataCentre] ?? 0;
      nextMachineNumbers[dataCentre] = number + 1;
      return placeMachine(machine, addresses.machineHost(dataCentre, number));
    }),
  );
  const placement = {
    machines,
    urls: { weightStore: httpUrl(store.advertised), origin: httpUrl(origin.advertised) },
    standins,
    callerHost: addresses.callerHost,
  };
  if (links === undefined) return placement;
  const shape = {
    withinDataCentreMilliseconds: links.withinDataCentreMilliseconds ?? 0,
    betweenDataCentresMilliseconds: links.betweenDataCentresMilliseconds ?? 0,
    betweenRegionsMilliseconds: links.betweenRegionsMilliseconds ?? 0,
    outsideMilliseconds: links.clientMilliseconds ?? 0,
    ...(links.regionPairBytesPerSecond === undefined
      ? {}
      : { regionPairBytesPerSecond: links.regionPairBytesPerSecond }),
  };
  const proxyMachines = linkMachines(machines, addresses, links);
  return { ...placement, proxy: { machines: proxyMachines, listeners, shape } };
}

function originRate(layout: SystemLayout): { readonly bytesPerSecond?: number } {
  const { originBytesPerSecond } = layout;
  return originBytesPerSecond === undefined ? {} : { bytesPerSecond: originBytesPerSecond };
}

function storeRate(layout: SystemLayout): { readonly requestsPerSecond?: number } {
  const { storeRequestsPerSecond } = layout;
  return storeRequestsPerSecond === undefined ? {} : { requestsPerSecond: storeRequestsPerSecond };
}
