import type { FleetConfigurationInput } from '@burdockrail/fleet/fleetConfiguration.js';
import type { PlacedMachine } from '@burdockrail/harness/settingsDocument.js';
import type { System } from '@burdockrail/harness/system.js';
import { startSystem } from '@burdockrail/harness/system.js';
import { formCluster } from '@burdockrail/harness/systemOperation.js';
import { layoutFleet, type SystemLayout } from '@burdockrail/harness/systemLayout.js';
import { waitUntil } from '@burdockrail/harness/waitUntil.js';
import type {
  ConfigurationApplyReply,
  GroupStatus,
} from '@burdockrail/protocol/protocolConfiguration.js';

/** Time limit for repairs and elections; generous, since the machine may be busy. */
export const RECOVERY_TIMEOUT_MILLISECONDS = 20_000;

/** Three data centres, each with a control replica; the first has two entries, the others one. */
export const agreementLayout: SystemLayout = {
  dataCentres: [
    { name: 'mazowsze', region: 'mazowsze' },
    { name: 'malopolska', region: 'malopolska' },
    { name: 'pomorze', region: 'pomorze' },
  ],
  controls: { mazowsze: 1, malopolska: 1, pomorze: 1 },
  entries: { mazowsze: 2, malopolska: 1, pomorze: 1 },
  services: [],
  teams: [{ name: 'registry' }],
  versions: [],
};

/** Starts a system and forms its quorum groups. */
export async function startFormedSystem(layout: SystemLayout = agreementLayout): Promise<System> {
  const system = await startSystem(layout);
  try {
    await formCluster(system);
    return system;
  } catch (error) {
    await system[Symbol.asyncDispose]();
    throw error;
  }
}

/** A fleet configuration that is distinguished by the name of its team. */
export function fleetWithTeam(team: string): FleetConfigurationInput {
  return { ...layoutFleet(agreementLayout), teams: [{ name: team }] };
}

/** Status of a group as one replica reports it; `undefined` when its process does not answer. */
export async function groupStatus(
  system: System,
  machine: string,
  group: string,
): Promise<GroupStatus | undefined> {
  const status = await system.operator
    .call(system.machine(machine).advertise, 'process.status', {}, 1_000)
    .catch(() => undefined);
  return status?.groups.find((candidate) => candidate.group === group);
}

/** Names of the machines with the control role. */
export function controlNames(system: System): readonly string[] {
  return system.machinesWithRole('control').map(({ name }) => name);
}

/** Waits until one of the machines leads a group and returns that machine. */
export async function waitForLeader(
  system: System,
  machines: readonly string[],
  group: string,
): Promise<PlacedMachine> {
  const name = await waitUntil(
    async () => {
      for (const machine of machines) {
        const status = await groupStatus(system, machine, group);
        if (status?.role === 'leader') return machine;
      }
      return undefined;
    },
    { description: `a leader of ${group}`, timeoutMilliseconds: RECOVERY_TIMEOUT_MILLISECONDS },
  );
  return system.machine(name);
}

/** Applies a fleet through one machine; retries with the same order id until it answers. */
export async function applyThrough(
  system: System,
  machine: string,
  fleet: FleetConfigurationInput,
  order: { readonly expectedRevision: number; readonly orderId: string },
): Promise<ConfigurationApplyReply> {
  return waitUntil(
    async () => system.operator.apply(system.machine(machine).advertise, fleet, order),
    {
      description: `an answer to ${order.orderId}`,
      timeoutMilliseconds: RECOVERY_TIMEOUT_MILLISECONDS,
    },
  );
}
