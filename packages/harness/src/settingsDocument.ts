import type { Address } from '@burdockrail/protocol/protocolAddress.js';
import { stringify } from 'yaml';
import type { MachineLayout, SystemLayout } from './systemLayout.js';

/** A machine with its assigned addresses. */
export interface PlacedMachine extends MachineLayout {
  /** Address that its process listens on. */
  readonly listen: Address;
  /** Address at which other processes reach it; the proxy's if there is one. */
  readonly advertise: Address;
  /** HTTP address of an entry. */
  readonly http?: Address;
  /** HTTP address of an entry for callers; the proxy's if there is one. */
  readonly callerHttp?: Address;
  readonly upstreamUrl?: string;
  readonly dataFolder: string;
}

/** URLs of the external services that agents fetch weights from. */
export interface ExternalUrls {
  readonly weightStore: string;
  readonly origin: string;
}

function peersOf(machines: readonly PlacedMachine[]): readonly object[] {
  return machines
    .filter(({ roles }) => !roles.includes('agent'))
    .map(({ name, dataCentre, roles, advertise }) => ({
      name,
      dataCentre,
      roles,
      address: advertise,
    }));
}

function agentSettings(machine: PlacedMachine, layout: SystemLayout, urls: ExternalUrls): object {
  const { service, upstreamUrl } = machine;
  if (service === undefined) return {};
  const model = service.kind === 'model';
  const agent = {
    service: service.name,
    upstream: { kind: service.kind, url: upstreamUrl },
    ...(model ? urls : {}),
    ...(layout.plan === undefined ? {} : { plan: layout.plan }),
    ...(layout.weightBytesPerSecond === undefined
      ? {}
      : { weightBytesPerSecond: layout.weightBytesPerSecond }),
  };
  return { agent };
}

/** Settings file of one machine, as YAML text. */
export function settingsDocument(
  machine: PlacedMachine,
  machines: readonly PlacedMachine[],
  layout: SystemLayout,
  urls: ExternalUrls,
): string {
  const { roles } = machine;
  return stringify(
    {
      name: machine.name,
      dataCentre: machine.dataCentre,
      region: machine.region,
      listen: machine.listen,
      advertise: machine.advertise,
      peers: peersOf(machines),
      ...(roles.includes('entry') ? { entry: { http: machine.http } } : {}),
      ...(roles.includes('control') ? { control: { dataFolder: machine.dataFolder } } : {}),
      ...agentSettings(machine, layout, urls),
      log: { format: 'json', level: layout.logLevel ?? 'info' },
    },
    { aliasDuplicateObjects: false },
  );
}
