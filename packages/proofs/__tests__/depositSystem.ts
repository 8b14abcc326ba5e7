import type { CallerAnswer } from '@burdockrail/harness/callerClient.js';
import { startServingSystem } from '@burdockrail/harness/systemOperation.js';
import { waitUntilTrue } from '@burdockrail/harness/waitUntil.js';
import type { System } from '@burdockrail/harness/system.js';
import type { SystemLayout } from '@burdockrail/harness/systemLayout.js';
import { request } from 'undici';

/** The plain service whose deposits must run at most once, and its only agent. */
export const SERVICE = 'ledger-ponte';
export const AGENT = 'ledger-ponte-sul-lagoa-1';
export const TEAM = 'piers';

/**
 * Three data centres. The first is the home of the service and its ledger; two control replicas
 * there have a disk, so that one of them may be paused or lost.
 */
export const depositLayout: SystemLayout = {
  dataCentres: [
    { name: 'sul-lagoa', region: 'sul-lagoa' },
    { name: 'serra-leste', region: 'serra-leste' },
    { name: 'litoral-norte', region: 'litoral-norte' },
  ],
  controls: { 'sul-lagoa': 2, 'serra-leste': 1, 'litoral-norte': 1 },
  entries: { 'sul-lagoa': 3, 'serra-leste': 2, 'litoral-norte': 1 },
  services: [
    {
      name: SERVICE,
      kind: 'plain',
      home: 'sul-lagoa',
      upstreams: { 'sul-lagoa': 1 },
      routes: [{ method: 'POST', path: '/deposits', repeatable: false }],
    },
  ],
  teams: [{ name: TEAM }],
  versions: [],
  links: {
    betweenRegionsMilliseconds: 1,
    withinDataCentreMilliseconds: 0.5,
    separateProxyProcess: true,
  },
};

/** Sends a deposit once; null when the caller received no answer. */
export async function sendDeposit(
  system: System,
  entry: string,
  key: string,
  body = '{"amount":40}',
  timeoutMilliseconds = 4_000,
): Promise<CallerAnswer | null> {
  try {
    return await system.callers.callService({
      entry: system.entryUrl(entry),
      service: SERVICE,
      team: TEAM,
      path: '/deposits',
      idempotencyKey: key,
      body,
      headers: { 'x-test-key': key },
      timeoutMilliseconds,
    });
  } catch {
    return null;
  }
}

/** Run count of a key according to the service. */
export async function fetchRunCount(system: System, key: string): Promise<number> {
  const counts = (await system.plainServiceClient(AGENT).counts()) as {
    readonly runsByTestKey: Readonly<Record<string, number>>;
  };
  return counts.runsByTestKey[key] ?? 0;
}

/** Run status that the system reports for the outcome of a key. */
export async function fetchRunStatus(
  system: System,
  entry: string,
  key: string,
): Promise<string | undefined> {
  const url = `${system.entryUrl(entry)}/v1/outcomes/${key}?service=${SERVICE}`;
  const answer = await request(url, { headers: { 'burdockrail-team': TEAM } });
  await answer.body.dump();
  const run = answer.headers['burdockrail-run'];
  return typeof run === 'string' ? run : undefined;
}

/** Starts the system and waits until deposits run through every entry. */
export async function startDepositSystem(layout: SystemLayout = depositLayout): Promise<System> {
  const system = await startServingSystem(layout);
  const entries = system.machinesWithRole('entry').map(({ name }) => name);
  await Promise.all(
    entries.map(async (entry) =>
      waitUntilTrue(
        async () => (await sendDeposit(system, entry, `warm-${entry}`))?.run === 'ran',
        {
          description: `the ledger at ${entry}`,
        },
      ),
    ),
  );
  return system;
}
