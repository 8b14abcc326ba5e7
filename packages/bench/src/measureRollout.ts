import { setTimeout as delay } from 'node:timers/promises';
import type { System } from '@burdockrail/harness/system.js';
import { applyFleet } from '@burdockrail/harness/systemOperation.js';
import { layoutFleet } from '@burdockrail/harness/systemLayout.js';
import type { LinkCounts } from '@burdockrail/faultproxy/linkCounts.js';
import { measureFaults } from './measureFaults.js';
import { measureNames } from './measureLayout.js';
import type { MeasureOptions } from './measureOptions.js';

const MILLISECONDS_PER_SECOND = 1_000;
const POLL_MILLISECONDS = 250;
/** Share of the window after which a fault strikes. */
const FAULT_AT = 0.2;

/** One rollout of the version after. */
export interface RolloutResult {
  /** Time from the order to the engines' confirmation, by replica that is live, in seconds. */
  readonly secondsToLive: readonly number[];
  /** Replicas that were not live within the bound. */
  readonly missing: number;
  readonly originCopies: number;
  /** Copies that came into each region from others, by region. */
  readonly copiesByRegion: Readonly<Record<string, number>>;
}

function bytesInto(region: string, counts: LinkCounts): number {
  const suffix = `>${region}`;
  return Object.entries(counts.betweenRegions)
    .filter(([pair]) => pair.endsWith(suffix) && !pair.startsWith('outside>'))
    .reduce((sum, [, bytes]) => sum + bytes, 0);
}

async function loadedAt(
  system: System,
  agent: string,
  digest: string,
): Promise<number | undefined> {
  const report = await system
    .engineClient(agent)
    .counts()
    .catch(() => undefined);
  return report?.loadedAt[digest];
}

/** Waits until engines confirm a digest; the fault's victims are not waited for. */
async function awaitLive(
  system: System,
  digest: string,
  endsAt: number,
  lost: ReadonlySet<string>,
): Promise<{ readonly times: readonly number[]; readonly missing: number }> {
  const agents = system.agentsOf(measureNames.model).map(({ name }) => name);
  const times = new Map<string, number>();
  for (;;) {
    const open = agents.filter((name) => !times.has(name) && !lost.has(name));
    await Promise.all(
      open.map(async (name) => {
        const at = await loadedAt(system, name, digest);
        if (at !== undefined) times.set(name, at);
      }),
    );
    const missing = agents.filter((name) => !times.has(name) && !lost.has(name)).length;
    if (missing === 0 || Date.now() > endsAt) return { times: [...times.values()], missing };
    await delay(POLL_MILLISECONDS);
  }
}

/** Orders the version after, brings the fault about and waits until all engines confirm. */
export async function measureRollout(
  system: System,
  options: MeasureOptions,
): Promise<RolloutResult> {
  const { model, after } = measureNames;
  const { digest, size } = await system.fetchManifest(model, after);
  const linksBefore = await system.links.counts();
  const fleet = layoutFleet(system.layout);
  const services = fleet.services.map((service) => ({
    ...service,
    weights: { model, version: after },
  }));
  const startedAt = Date.now();
  await applyFleet(system, { ...fleet, services });
  const lost = new Set<string>();
  const fault = delay(FAULT_AT * options.windowSeconds * MILLISECONDS_PER_SECOND).then(async () => {
    const result = await measureFaults[options.fault](system);
    for (const name of result.lost) lost.add(name);
  });
  const endsAt = startedAt + options.boundSeconds * MILLISECONDS_PER_SECOND;
  if (options.fault !== 'none') await fault;
  const { times, missing } = await awaitLive(system, digest, endsAt, lost);
  await fault;
  const linksAfter = await system.links.counts();
  const { bytesByVersion } = await system.origin.counts();
  const regions = system.layout.dataCentres.map(({ region }) => region);
  return {
    secondsToLive: times
      .map((at) => (at - startedAt) / MILLISECONDS_PER_SECOND)
      .sort((a, b) => a - b),
    missing,
    originCopies: (bytesByVersion[`${model}/${after}`] ?? 0) / size,
    copiesByRegion: Object.fromEntries(
      regions.map((region) => [
        region,
        (bytesInto(region, linksAfter) - bytesInto(region, linksBefore)) / size,
      ]),
    ),
  };
}
