import { readFile } from 'node:fs/promises';
import type { FleetConfigurationInput } from '@burdockrail/fleet/fleetConfiguration.js';
import type { ConfigurationApplyReply } from '@burdockrail/protocol/protocolConfiguration.js';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';
import { request } from 'undici';
import { startSystem, type System } from './system.js';
import { layoutFleet, type SystemLayout } from './systemLayout.js';
import { waitUntil, waitUntilTrue } from './waitUntil.js';

const FORM_BOUND_MILLISECONDS = 15_000;
const LAST_LOG_LINES = 15;

/** Forms all groups; groups that are formed already stay as they are. */
export async function formCluster(system: System): Promise<void> {
  const control = system.withRole('control')[0];
  if (control === undefined) throw new Error('the layout has no control replica');
  await waitUntil(
    async () => system.operator.call(control.advertise, 'cluster.form', { acceptLoss: false }),
    { what: 'forming the groups', boundMilliseconds: FORM_BOUND_MILLISECONDS },
  );
}

/** Revision in force at the first control replica that answers. */
export async function currentRevision(system: System): Promise<number> {
  return waitUntil(
    async () => {
      for (const { advertise } of system.withRole('control')) {
        const committed = await system.operator.current(advertise).catch(() => undefined);
        if (committed !== undefined) return committed?.revision ?? 0;
      }
      return undefined;
    },
    { what: 'an answer of a control replica' },
  );
}

/** Applies a fleet on top of the revision in force; tries again until a leader takes it. */
export async function applyFleet(
  system: System,
  fleet: FleetConfigurationInput,
): Promise<ConfigurationApplyReply> {
  const expectedRevision = await currentRevision(system);
  const orderId = crypto.randomUUID();
  const controls = system.withRole('control');
  let attempt = 0;
  return waitUntil(
    async () => {
      const control = controls[attempt % controls.length];
      attempt += 1;
      if (control === undefined) throw new Error('the layout has no control replica');
      return system.operator.apply(control.advertise, fleet, { expectedRevision, orderId });
    },
    { what: 'acceptance of a configuration', boundMilliseconds: FORM_BOUND_MILLISECONDS },
  );
}

/** Waits until processes have a configuration of at least this revision in force. */
export async function waitForRevision(
  system: System,
  revision: number,
  names: readonly string[] = system.processes.names,
): Promise<void> {
  await Promise.all(
    names.map(async (name) =>
      waitUntilTrue(
        async () =>
          (await system.operator.status(system.machine(name).advertise)).revision >= revision,
        { what: `revision ${revision} at ${name}` },
      ),
    ),
  );
}

/** What is waited for by {@link waitUntilServing}. */
export interface ServingOptions {
  /** Agents that have to be ready; all of the layout when absent. */
  readonly count?: number;
  /** Digest that they have to serve; any when absent. */
  readonly digest?: string;
  /** Entries that have to know; all when absent. */
  readonly entries?: readonly string[];
  readonly boundMilliseconds?: number;
}

function isReady(announcement: Announcement, service: string, digest: string | undefined): boolean {
  if (announcement.service !== service || announcement.state !== 'present') return false;
  return announcement.ready && (digest === undefined || announcement.serving?.digest === digest);
}

/** Waits until entries know enough ready upstreams of a service. */
export async function waitUntilServing(
  system: System,
  service: string,
  options: ServingOptions = {},
): Promise<void> {
  const { digest, boundMilliseconds = FORM_BOUND_MILLISECONDS } = options;
  const count = options.count ?? system.agentsOf(service).length;
  const entries = options.entries ?? system.withRole('entry').map(({ name }) => name);
  await Promise.all(
    entries.map(async (entry) =>
      waitUntilTrue(
        async () => {
          const known = await system.operator.upstreams(system.machine(entry).advertise);
          return known.filter((one) => isReady(one, service, digest)).length >= count;
        },
        { what: `${count} upstreams of ${service} at ${entry}`, boundMilliseconds },
      ),
    ),
  );
}

/** Waits until entries answer that they are ready. */
export async function waitUntilReady(system: System): Promise<void> {
  await Promise.all(
    system.withRole('entry').map(async ({ name }) =>
      waitUntilTrue(
        async () => {
          const answer = await request(`${system.entryUrl(name)}/readyz`);
          await answer.body.dump();
          return answer.statusCode === 200;
        },
        { what: `readiness of ${name}` },
      ),
    ),
  );
}

/** Starts a system, forms its groups, applies the layout's fleet and waits until it serves. */
export async function startServingSystem(layout: SystemLayout): Promise<System> {
  const system = await startSystem(layout);
  try {
    await formCluster(system);
    await applyFleet(system, layoutFleet(layout));
    await waitUntilReady(system);
    await Promise.all(layout.services.map(async ({ name }) => waitUntilServing(system, name)));
    return system;
  } catch (error) {
    await describeFailure(system);
    await system[Symbol.asyncDispose]();
    throw error;
  }
}

/** Prints the last log lines of all processes. */
export async function describeFailure(system: System): Promise<void> {
  for (const name of system.processes.names) {
    const text = await readFile(system.processes.logPath(name), 'utf8').catch(() => '');
    const lines = text.trimEnd().split('\n').slice(-LAST_LOG_LINES);
    process.stderr.write(`--- ${name}\n${lines.join('\n')}\n`);
  }
}

/** Runs a body on a serving system; its logs are shown when the body fails. */
export async function withServingSystem(
  layout: SystemLayout,
  body: (system: System) => Promise<void>,
): Promise<void> {
  await using system = await startServingSystem(layout);
  try {
    await body(system);
  } catch (error) {
    await describeFailure(system);
    throw error;
  }
}
