import { setTimeout as delay } from 'node:timers/promises';
import { startServingSystem } from '@burdockrail/harness/systemOperation.js';
import { measureLayout, measureNames } from './measureLayout.js';
import { startLiveLoad, type LiveLoad, type LiveResult } from './measureLive.js';
import type { MeasureOptions, PlanName } from './measureOptions.js';
import { measureRollout, type RolloutResult } from './measureRollout.js';
import { startUsagePeriod, type UsageReport } from './measureUsage.js';

/** Lengths of the idle period and of the period with live load but no rollout. */
const IDLE_MILLISECONDS = 2_000;
const BASELINE_MILLISECONDS = 5_000;

/** Result of one run of a plan at one replica count. */
export interface MeasuredRun {
  readonly plan: PlanName;
  readonly replicas: number;
  readonly rollout: RolloutResult;
  /** Resource use of the idle system. */
  readonly idleUsage: UsageReport;
  readonly rolloutUsage: UsageReport;
  /** Live requests before and during the rollout; absent without live load. */
  readonly live?: { readonly baseline: LiveResult; readonly duringRollout: LiveResult };
}

/** Starts a system and measures it idle, under live load, and during a rollout. */
export async function measureRun(
  options: MeasureOptions,
  replicas: number,
  plan: PlanName,
): Promise<MeasuredRun> {
  await using system = await startServingSystem(measureLayout(options, replicas, plan));
  const { model, oldVersion, newVersion } = measureNames;
  const manifests = await Promise.all(
    [oldVersion, newVersion].map(async (version) => system.fetchManifest(model, version)),
  );
  const published = new Set(manifests.map(({ digest }) => digest));
  const endIdlePeriod = await startUsagePeriod(system);
  await delay(IDLE_MILLISECONDS);
  const idleUsage = await endIdlePeriod();
  const load =
    options.liveLoad > 0
      ? startLiveLoad(system, options.liveLoad, options.seed, published)
      : undefined;
  try {
    const baseline = await measureBaseline(load);
    const endRolloutPeriod = await startUsagePeriod(system);
    const rollout = await measureRollout(system, options);
    const rolloutUsage = await endRolloutPeriod();
    const duringRollout = await load?.nextPeriod();
    const live =
      baseline === undefined || duringRollout === undefined
        ? {}
        : { live: { baseline, duringRollout } };
    return { plan, replicas, rollout, idleUsage, rolloutUsage, ...live };
  } finally {
    await load?.[Symbol.asyncDispose]();
  }
}

/** Measures live load without a rollout; leaves out the first second, when connections are opened. */
async function measureBaseline(load: LiveLoad | undefined): Promise<LiveResult | undefined> {
  if (load === undefined) return undefined;
  await delay(BASELINE_MILLISECONDS / 5);
  await load.nextPeriod();
  await delay(BASELINE_MILLISECONDS);
  return load.nextPeriod();
}
