import { readFile } from 'node:fs/promises';
import type { FleetConfigurationInput } from '@burdockrail/fleet/fleetConfiguration.js';
import type { ConfigurationApplyReply } from '@burdockrail/protocol/protocolConfiguration.js';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';
import { request } from 'undici';
import { startSystem, type System } from './system.js';
import { layoutFleet, type SystemLayout } from './systemLayout.js';
import { waitUntil, waitUntilTrue } from './waitUntil.js';

const SETUP_TIMEOUT_MILLISECONDS = 15_000;
const LOG_TAIL_LINES = 15;

/** Forms all quorum groups; groups that already exist are left unchanged. */
export async function formCluster(system: System): Promise<void> {
  const control = system.machinesWithRole('control')[0];
  if (control === undefined) throw new Error('the layout has no control replica');
  await waitUntil(
    async () => system.operator.call(control.advertise, 'cluster.form', { acceptLoss: false }),
    { description: 'the quorum groups to form', timeoutMilliseconds: SETUP_TIMEOUT_MILLISECONDS },
  );
}

/** Revision in force according to the first control replica that answers; 0 without one. */
export async function currentRevision(system: System): Promise<number> {
  return waitUntil(
    async () => {
      for (const { advertise } of system.machinesWithRole('control')) {
        const committed = await system.operator.current(advertise).catch(() => undefined);
        if (committed !== undefined) return committed?.revision ?? 0;
      }
      return undefined;
    },
    { description: 'an answer from a control replica' },
  );
}

/** Applies a fleet on top of the revision in force; retries until a leader answers. */
export async function applyFleet(
  system: System,
  fleet: FleetConfigurationInput,
): Promise<ConfigurationApplyReply> {
  const expectedRevision = await currentRevision(system);
  const orderId = crypto.randomUUID();
  const controls = system.machinesWithRole('control');
  let attempt = 0;
  return waitUntil(
    async () => {
      const control = controls[attempt % controls.length];
      attempt += 1;
      if (control === undefined) throw new Error('the layout has no control replica');
      return system.operator.apply(control.advertise, fleet, { expectedRevision, orderId });
    },
    {
      description: 'an answer to a configuration change',
      timeoutMilliseconds: SETUP_TIMEOUT_MILLISECONDS,
    },
  );
}

/** Waits until processes report that this or a later revision is in force. */
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
        { description: `revision ${revision} at ${name}` },
      ),
    ),
  );
}

/** Conditions that {@link waitUntilServing} waits for. */
export interface ServingOptions {
  /** Number of agents that must be ready; all agents of the service when absent. */
  readonly minimumCount?: number;
  /** Digest that they must serve; any when absent. */
  readonly digest?: string;
  /** Entries that must list these agents; all when absent. */
  readonly entries?: readonly string[];
  readonly timeoutMilliseconds?: number;
}

function isServing(
  announcement: Announcement,
  service: string,
  digest: string | undefined,
): boolean {
  if (announcement.service !== service || announcement.state !== 'present') return false;
  return announcement.ready && (digest === undefined || announcement.serving?.digest === digest);
}

/** Waits until entries list enough ready upstreams of a service. */
export async function waitUntilServing(
  system: System,
  service: string,
  options: ServingOptions = {},
): Promise<void> {
  const { digest, timeoutMilliseconds = SETUP_TIMEOUT_MILLISECONDS } = options;
  const minimumCount = options.minimumCount ?? system.agentsOf(service).length;
  const entries = options.entries ?? system.machinesWithRole('entry').map(({ name }) => name);
  await Promise.all(
    entries.map(async (entry) =>
      waitUntilTrue(
        async () => {
          const listed = await system.operator.upstreams(system.machine(entry).advertise);
          return listed.filter((each) => isServing(each, service, digest)).length >= minimumCount;
        },
        { description: `${minimumCount} upstreams of ${service} at ${entry}`, timeoutMilliseconds },
      ),
    ),
  );
}

/** Waits until the readiness probes of all entries succeed. */
export async function waitUntilReady(system: System): Promise<void> {
  await Promise.all(
    system.machinesWithRole('entry').map(async ({ name }) =>
      waitUntilTrue(
        async () => {
          const answer = await request(`${system.entryUrl(name)}/readyz`);
          await answer.body.dump();
          return answer.statusCode === 200;
        },
        { description: `readiness of ${name}` },
      ),
    ),
  );
}

/** Starts a system, forms its groups, applies the layout's fleet and waits until all services are ready. */
export async function startServingSystem(layout: SystemLayout): Promise<System> {
  const system = await startSystem(layout);
  try {
    await formCluster(system);
    await applyFleet(system, layoutFleet(layout));
    await waitUntilReady(system);
    await Promise.all(layout.services.map(async ({ name }) => waitUntilServing(system, name)));
    return system;
  } catch (error) {
    await printLogTails(system);
    await system[Symbol.asyncDispose]();
    throw error;
  }
}

/** Prints the last log lines of all processes. */
export async function printLogTails(system: System): Promise<void> {
  for (const name of system.processes.names) {
    const text = await readFile(system.processes.logPath(name), 'utf8').catch(() => '');
    const lines = text.trimEnd().split('\n').slice(-LOG_TAIL_LINES);
    process.stderr.write(`--- ${name}\n${lines.join('\n')}\n`);
  }
}

/** Runs a test body on a serving system; prints the ends of all logs when the body fails. */
export async function withServingSystem(
  layout: SystemLayout,
  body: (system: System) => Promise<void>,
): Promise<void> {
  await using system = await startServingSystem(layout);
  try {
    await body(system);
  } catch (error) {
    await printLogTails(system);
    throw error;
  }
}
