import { setTimeout as delay } from 'node:timers/promises';
import type { CallerAnswer } from '@burdockrail/harness/callerClient.js';
import type { System } from '@burdockrail/harness/system.js';
import { layoutFleet } from '@burdockrail/harness/systemLayout.js';
import { applyFleet, startServingSystem } from '@burdockrail/harness/systemOperation.js';
import { capacityLayout, capacityNames, type CapacitySize } from './capacityLayout.js';
import { measureMembership } from './capacityMembership.js';
import { measurePeriod, type PeriodCosts, type RoleCosts } from './capacityProbe.js';

const SETTLE_MILLISECONDS = 2_000;
const IDLE_MILLISECONDS = 8_000;
const CONFIGURATION_CHANGES = 40;
const CHANGES_PER_SECOND = 5;
const LOAD_MILLISECONDS = 6_000;
const BYTES_PER_MEBIBYTE = 1024 * 1024;
const MILLISECONDS_PER_SECOND = 1_000;
const membershipSizes = [200, 800, 1_600, 3_200] as const;

const sizes: readonly CapacitySize[] = [
  { dataCentres: 3, entriesPerDataCentre: 1, modelsPerDataCentre: 2 },
  { dataCentres: 3, entriesPerDataCentre: 2, modelsPerDataCentre: 4 },
  { dataCentres: 3, entriesPerDataCentre: 4, modelsPerDataCentre: 8 },
  { dataCentres: 3, entriesPerDataCentre: 8, modelsPerDataCentre: 16 },
  { dataCentres: 6, entriesPerDataCentre: 2, modelsPerDataCentre: 4 },
];

function describeRole(name: string, costs: RoleCosts): string {
  const families = Object.entries(costs.sentByFamily)
    .filter(([, bytes]) => bytes >= 1)
    .map(([family, bytes]) => `${family} ${bytes.toFixed(0)}`);
  const megabytes = (costs.residentBytes / BYTES_PER_MEBIBYTE).toFixed(0);
  return `    ${name}: ${(costs.cores * 100).toFixed(2)}% of a core, ${megabytes} MiB, B/s sent: ${families.join(', ')}`;
}

function printReport(title: string, costs: PeriodCosts): void {
  const lines = Object.entries(costs.roles).map(([role, value]) => describeRole(role, value));
  process.stdout.write(`  ${title} (${costs.seconds.toFixed(1)} s)\n${lines.join('\n')}\n`);
}

async function applyConfigurationChanges(system: System): Promise<void> {
  const fleet = layoutFleet(system.layout);
  for (let change = 0; change < CONFIGURATION_CHANGES; change += 1) {
    const started = performance.now();
    const teams = [{ name: capacityNames.team, share: 1 + change }];
    await applyFleet(system, { ...fleet, teams });
    const waitMilliseconds =
      MILLISECONDS_PER_SECOND / CHANGES_PER_SECOND - (performance.now() - started);
    if (waitMilliseconds > 0) await delay(waitMilliseconds);
  }
}

type SendRequest = (entry: string, number: number) => Promise<CallerAnswer>;

async function sendAtRate(system: System, perSecond: number, send: SendRequest): Promise<void> {
  const entries = system.machinesWithRole('entry').map(({ name }) => system.entryUrl(name));
  const total = (perSecond * LOAD_MILLISECONDS) / MILLISECONDS_PER_SECOND;
  const pending: Promise<CallerAnswer>[] = [];
  const started = performance.now();
  for (let number = 0; number < total; number += 1) {
    const dueAt = started + (number * MILLISECONDS_PER_SECOND) / perSecond;
    if (dueAt > performance.now()) await delay(dueAt - performance.now());
    pending.push(send(entries[number % entries.length] ?? '', number));
  }
  const answers = await Promise.all(pending);
  const failed = answers.filter((answer) => answer.code !== 0 || !answer.complete);
  const codes = [...new Set(failed.map((answer) => answer.code))].join(', ');
  if (failed.length > 0) {
    process.stdout.write(`  ${failed.length} of ${answers.length} not answered: ${codes}\n`);
  }
}

async function measureRequests(system: System): Promise<void> {
  const { model, plain, team } = capacityNames;
  for (const perSecond of [10, 30, 60]) {
    const streamed = await measurePeriod(system, async () =>
      sendAtRate(system, perSecond, async (entry, number) =>
        system.callers.callModel({
          entry,
          service: model,
          team,
          prompt: `question ${number}`,
          maximumTokens: 16,
          stream: true,
        }),
      ),
    );
    printReport(`${perSecond} streamed requests/s of 16 tokens`, streamed);
    const claimed = await measurePeriod(system, async () =>
      sendAtRate(system, perSecond, async (entry, number) =>
        system.callers.callService({
          entry,
          service: plain,
          team,
          method: 'POST',
          path: '/deposits',
          body: 'x',
          idempotencyKey: `deposit-${perSecond}-${number}`,
        }),
      ),
    );
    printReport(`${perSecond} claimed requests/s`, claimed);
  }
}

async function measureSize(size: CapacitySize, withRequests: boolean): Promise<void> {
  await using system = await startServingSystem(capacityLayout(size));
  const entries = system.machinesWithRole('entry').length;
  const agents = system.machinesWithRole('agent').length;
  process.stdout.write(`${size.dataCentres} data centres, ${entries} entries, ${agents} agents\n`);
  await delay(SETTLE_MILLISECONDS);
  printReport('at rest', await measurePeriod(system, async () => delay(IDLE_MILLISECONDS)));
  printReport(
    `${CONFIGURATION_CHANGES} changes at most ${CHANGES_PER_SECOND}/s`,
    await measurePeriod(system, async () => applyConfigurationChanges(system)),
  );
  if (withRequests) await measureRequests(system);
}

const selected = process.argv[2];
if (selected === undefined || selected === 'membership') {
  process.stdout.write(`${JSON.stringify(measureMembership(membershipSizes), null, 1)}\n`);
}
for (const [index, size] of sizes.entries()) {
  if (selected === undefined || selected === String(index)) await measureSize(size, index === 1);
}
