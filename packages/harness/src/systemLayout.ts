import type { EngineSettings } from '@burdockrail/standins/engineSettings.js';
import type { WeightVersion } from '@burdockrail/standins/weightContent.js';
import type { FleetConfigurationInput } from '@burdockrail/fleet/fleetConfiguration.js';
import type { LinkSettings } from './linkSettings.js';

/** Number of machines per data centre. */
export type CountByDataCentre = Readonly<Record<string, number>>;

/** A data centre and its region. */
export interface DataCentreLayout {
  readonly name: string;
  readonly region: string;
}

/** A service with a stand-in behind each of its agents. */
export interface ServiceLayout {
  readonly name: string;
  readonly kind: 'model' | 'plain';
  readonly home: string;
  readonly upstreams: CountByDataCentre;
  readonly weights?: { readonly model: string; readonly version: string };
  readonly checksFencing?: boolean;
  readonly routes?: NonNullable<FleetConfigurationInput['services'][number]['routes']>;
  readonly engine?: Partial<EngineSettings>;
  /** Time that a plain service takes to run a request, in milliseconds. */
  readonly runMilliseconds?: number;
}

/** Description of a system to start. */
export interface SystemLayout {
  readonly dataCentres: readonly DataCentreLayout[];
  readonly controls: CountByDataCentre;
  readonly entries: CountByDataCentre;
  readonly services: readonly ServiceLayout[];
  readonly teams: FleetConfigurationInput['teams'];
  readonly versions: readonly WeightVersion[];
  /** Link settings of the fault proxy; without them processes connect to each other directly. */
  readonly links?: LinkSettings;
  /** Distribution plan for weights; the agents' default when absent. */
  readonly plan?: 'swarm' | 'origin' | 'chain' | 'tree';
  /** Limit on each agent's weight traffic, in bytes per second. */
  readonly weightBytesPerSecond?: number;
  readonly originBytesPerSecond?: number;
  readonly storeRequestsPerSecond?: number;
  /** Child processes that run the stand-ins; 0 runs them in this process. */
  readonly standinProcesses?: number;
  /** Whether the first entries also take the control role, instead of dedicated machines. */
  readonly controlsAreEntries?: boolean;
  readonly logLevel?: 'error' | 'warn' | 'info' | 'debug';
}

/** One machine of a layout. */
export interface MachineLayout {
  readonly name: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly roles: readonly ('entry' | 'control' | 'agent')[];
  /** Service of the agent on this machine. */
  readonly service?: ServiceLayout;
}

function machinesOf(
  layout: SystemLayout,
  counts: CountByDataCentre,
  prefix: string,
  describe: (number: number, dataCentre: string) => Pick<MachineLayout, 'roles' | 'service'>,
): readonly MachineLayout[] {
  return layout.dataCentres.flatMap(({ name, region }) =>
    Array.from({ length: counts[name] ?? 0 }, (_machine, index) => ({
      name: `${prefix}-${name}-${index + 1}`,
      dataCentre: name,
      region,
      ...describe(index + 1, name),
    })),
  );
}

/** All machines of a layout: controls, entries, then the agents of each service. */
export function layoutMachines(layout: SystemLayout): readonly MachineLayout[] {
  const shared = layout.controlsAreEntries === true;
  const controls = machinesOf(layout, layout.controls, 'control', () => ({ roles: ['control'] }));
  const entries = machinesOf(layout, layout.entries, 'entry', (number, dataCentre) => {
    const control = shared && number <= (layout.controls[dataCentre] ?? 0);
    return { roles: control ? ['entry', 'control'] : ['entry'] };
  });
  const agents = layout.services.flatMap((service) =>
    machinesOf(layout, service.upstreams, service.name, () => ({ roles: ['agent'], service })),
  );
  return [...(shared ? [] : controls), ...entries, ...agents];
}

/** Fleet configuration that matches a layout; tests apply changed copies of it. */
export function layoutFleet(layout: SystemLayout): FleetConfigurationInput {
  return {
    fleet: 'harness',
    dataCentres: layout.dataCentres,
    teams: layout.teams,
    services: layout.services.map((service) => ({
      name: service.name,
      kind: service.kind,
      home: service.home,
      upstreams: service.upstreams,
      checksFencing: service.checksFencing ?? false,
      routes: service.routes ?? [],
      ...(service.weights === undefined ? {} : { weights: service.weights }),
    })),
  };
}
