import { setTimeout as delay } from 'node:timers/promises';
import type { System } from '@burdockrail/harness/system.js';
import { applyFleet } from '@burdockrail/harness/systemOperation.js';
import { layoutFleet } from '@burdockrail/harness/systemLayout.js';
import type { LinkCounts } from '@burdockrail/faultproxy/linkCounts.js';
import { faultInjections } from './measureFaults.js';
import { measureNames } from './measureLayout.js';
import type { MeasureOptions } from './measureOptions.js';

const MILLISECONDS_PER_SECOND = 1_000;
const POLL_MILLISECONDS = 250;
/** Delay of the fault injection after the start of the rollout, as a share of the window. */
const FAULT_DELAY_WINDOW_SHARE = 0.2;

/** Result of one rollout of the new version. */
export interface RolloutResult {
  /** Time until the engine of each live replica loaded the version, in seconds, ascending. */
  readonly secondsToLive: readonly number[];
  /** Replicas that were not live at the timeout. */
  readonly missing: number;
  readonly originCopies: number;
  /** Copies that entered each region from other regions. */
  readonly copiesByRegion: Readonly<Record<string, number>>;
}

function bytesIntoRegion(region: string, counts: LinkCounts): number {
  const suffix = `>${region}`;
  return Object.entries(counts.betweenRegions)
    .filter(([pair]) => pair.endsWith(suffix) && !pair.startsWith('outside>'))
    .reduce((sum, [, bytes]) => sum + bytes, 0);
}

async function fetchLoadTime(
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

/** Waits until all engines have loaded a digest, except those of killed agents. */
async function waitUntilLive(
  system: System,
  digest: string,
  endsAt: number,
  killedAgents: ReadonlySet<string>,
): Promise<{ readonly times: readonly number[]; readonly missing: number }> {
  const agents = system.agentsOf(measureNames.model).map(({ name }) => name);
  const times = new Map<string, number>();
  for (;;) {
    const pending = agents.filter((name) => !times.has(name) && !killedAgents.has(name));
    await Promise.all(
      pending.map(async (name) => {
        const at = await fetchLoadTime(system, name, digest);
        if (at !== undefined) times.set(name, at);
      }),
    );
    const missing = agents.filter((name) => !times.has(name) && !killedAgents.has(name)).length;
    if (missing === 0 || Date.now() > endsAt) return { times: [...times.values()], missing };
    await delay(POLL_MILLISECONDS);
  }
}

/** Applies the new version, injects the fault and waits until all engines have loaded the version. */
export async function measureRollout(
  system: System,
  options: MeasureOptions,
): Promise<RolloutResult> {
  const { model, newVersion } = measureNames;
  const { digest, size } = await system.fetchManifest(model, newVersion);
  const linksBefore = await system.links.counts();
  const fleet = layoutFleet(system.layout);
  const services = fleet.services.map((service) => ({
    ...service,
    weights: { model, version: newVersion },
  }));
  const startedAt = Date.now();
  await applyFleet(system, { ...fleet, services });
  const killedAgents = new Set<string>();
  const faultInjection = delay(
    FAULT_DELAY_WINDOW_SHARE * options.windowSeconds * MILLISECONDS_PER_SECOND,
  ).then(async () => {
    const result = await faultInjections[options.fault](system);
    for (const name of result.killedAgents) killedAgents.add(name);
  });
  const endsAt = startedAt + options.timeoutSeconds * MILLISECONDS_PER_SECOND;
  if (options.fault !== 'none') await faultInjection;
  const { times, missing } = await waitUntilLive(system, digest, endsAt, killedAgents);
  await faultInjection;
  const linksAfter = await system.links.counts();
  const { bytesByVersion } = await system.origin.counts();
  const regions = system.layout.dataCentres.map(({ region }) => region);
  return {
    secondsToLive: times
      .map((at) => (at - startedAt) / MILLISECONDS_PER_SECOND)
      .sort((a, b) => a - b),
    missing,
    originCopies: (bytesByVersion[`${model}/${newVersion}`] ?? 0) / size,
    copiesByRegion: Object.fromEntries(
      regions.map((region) => [
        region,
        (bytesIntoRegion(region, linksAfter) - bytesIntoRegion(region, linksBefore)) / size,
      ]),
    ),
  };
}
