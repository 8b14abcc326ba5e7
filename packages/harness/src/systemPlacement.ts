import { join } from 'node:path';
import type { Address } from '@burdockrail/protocol/protocolAddress.js';
import type { FaultProxyDescription } from '@burdockrail/faultproxy/faultProxy.js';
import type { LinkListener, LinkMachine } from '@burdockrail/faultproxy/linkMachine.js';
import { OUTSIDE_REGION } from '@burdockrail/faultproxy/linkShape.js';
import type { StandinDescription } from '@burdockrail/standins/standinHost.js';
import { createAddressPlan, freeAddress, type AddressPlan } from './addressPlan.js';
import type { LinkPlan } from './linkPlan.js';
import type { PlacedMachine, SurroundingUrls } from './settingsDocument.js';
import { layoutMachines, type MachineLayout, type SystemLayout } from './systemLayout.js';

/** A port and, with a proxy, the port on the same machine that stands in for it. */
interface PlacedPort {
  readonly own: Address;
  readonly shown: Address;
}

/** Addresses of a whole system. */
export interface SystemPlacement {
  readonly machines: readonly PlacedMachine[];
  readonly urls: SurroundingUrls;
  /** Stand-ins by name: `origin`, `store`, and for each agent one of the agent's name. */
  readonly standins: readonly StandinDescription[];
  readonly callerHost: string;
  /** Absent when processes talk directly. */
  readonly proxy?: FaultProxyDescription;
}

/** Name of the machine that callers' and operators' connections come from. */
export const CALLER_MACHINE = 'callers';

function httpUrl(address: Address): string {
  return `http://${address.host}:${address.port}`;
}

async function placePort(host: string, proxied: boolean): Promise<PlacedPort> {
  const own = await freeAddress(host);
  return { own, shown: proxied ? await freeAddress(host) : own };
}

function standinOf(machine: MachineLayout, address: Address): StandinDescription {
  const { name, service } = machine;
  if (service?.kind === 'plain') {
    const { runMilliseconds } = service;
    const pace = runMilliseconds === undefined ? {} : { runMilliseconds };
    return { kind: 'plain', name, address, ...pace };
  }
  const checksFencing = service?.checksFencing ?? false;
  const settings = { checksFencing, ...service?.engine };
  return { kind: 'engine', name, address, settings };
}

function linkMachines(
  machines: readonly PlacedMachine[],
  addresses: AddressPlan,
  links: LinkPlan,
): readonly LinkMachine[] {
  const rate = links.machineBytesPerSecond;
  const own = rate === undefined ? {} : { egressBytesPerSecond: rate, ingressBytesPerSecond: rate };
  const outside = { dataCentre: OUTSIDE_REGION, region: OUTSIDE_REGION };
  const originRate = links.originBytesPerSecond;
  const originOwn = originRate === undefined ? {} : { egressBytesPerSecond: originRate };
  return [
    ...machines.map(({ name, dataCentre, region, listen }) => ({
      name,
      host: listen.host,
      dataCentre,
      region,
      ...own,
    })),
    { name: 'origin', host: addresses.originHost, ...outside, ...originOwn },
    { name: 'store', host: addresses.storeHost, ...outside },
    { name: CALLER_MACHINE, host: addresses.callerHost, ...outside },
  ];
}

function listener(machine: string, port: PlacedPort): LinkListener {
  return { machine, listen: port.shown, target: port.own };
}

/** Chooses addresses for all processes of a layout. */
export async function placeSystem(layout: SystemLayout, folder: string): Promise<SystemPlacement> {
  const { links } = layout;
  const proxied = links !== undefined;
  const addresses = createAddressPlan();
  const origin = await placePort(addresses.originHost, proxied);
  const store = await placePort(addresses.storeHost, proxied);
  const listeners: LinkListener[] = [listener('origin', origin), listener('store', store)];
  const standins: StandinDescription[] = [
    { kind: 'origin', name: 'origin', address: origin.own, ...originRate(layout) },
    { kind: 'store', name: 'store', address: store.own, ...storeRate(layout) },
  ];

  const place = async (machine: MachineLayout, host: string): Promise<PlacedMachine> => {
    const port = await placePort(host, proxied);
    const http = machine.roles.includes('entry') ? await placePort(host, proxied) : undefined;
    listeners.push(listener(machine.name, port));
    if (http !== undefined) listeners.push(listener(machine.name, http));
    const upstream = machine.service === undefined ? undefined : await freeAddress(host);
    if (upstream !== undefined) standins.push(standinOf(machine, upstream));
    return {
      ...machine,
      listen: port.own,
      advertise: port.shown,
      dataFolder: join(folder, machine.name),
      ...(http === undefined ? {} : { http: http.own, callerHttp: http.shown }),
      ...(upstream === undefined ? {} : { upstreamUrl: httpUrl(upstream) }),
    };
  };

  const names = layout.dataCentres.map(({ name }) => name);
  const next = names.map(() => 0);
  const machines = await Promise.all(
    layoutMachines(layout).map(async (machine) => {
      const dataCentre = names.indexOf(machine.dataCentre);
      const number = next[dataCentre] ?? 0;
      next[dataCentre] = number + 1;
      return place(machine, addresses.machineHost(dataCentre, number));
    }),
  );
  const placement = {
    machines,
    urls: { weightStore: httpUrl(store.shown), origin: httpUrl(origin.shown) },
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
