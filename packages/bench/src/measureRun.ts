import { setTimeout as delay } from 'node:timers/promises';
import { startServingSystem } from '@burdockrail/harness/systemOperation.js';
import { measureLayout, measureNames } from './measureLayout.js';
import { startLiveLoad, type LiveLoad, type LiveResult } from './measureLive.js';
import type { MeasureOptions, PlanName } from './measureOptions.js';
import { measureRollout, type RolloutResult } from './measureRollout.js';
import { startUsage, type UsageReport } from './measureUsage.js';

/** Length of the quiet period and of the period with live load alone, in milliseconds. */
const QUIET_MILLISECONDS = 2_000;
const BASELINE_MILLISECONDS = 5_000;

/** One run of one plan at one count of replicas. */
export interface MeasuredRun {
  readonly plan: PlanName;
  readonly replicas: number;
  readonly rollout: RolloutResult;
  /** Use of the machine while nothing was asked of the system. */
  readonly quietUsage: UsageReport;
  readonly rolloutUsage: UsageReport;
  /** Live requests without and with the rollout. */
  readonly live?: { readonly alone: LiveResult; readonly during: LiveResult };
}

/** Starts a system, measures it at rest, under live load alone, and during a rollout. */
export async function measureRun(
  options: MeasureOptions,
  replicas: number,
  plan: PlanName,
): Promise<MeasuredRun> {
  await using system = await startServingSystem(measureLayout(options, replicas, plan));
  const { model, before, after } = measureNames;
  const manifests = await Promise.all(
    [before, after].map(async (version) => system.fetchManifest(model, version)),
  );
  const published = new Set(manifests.map(({ digest }) => digest));
  const endQuiet = await startUsage(system);
  await delay(QUIET_MILLISECONDS);
  const quietUsage = await endQuiet();
  const load =
    options.liveLoad > 0
      ? startLiveLoad(system, options.liveLoad, options.seed, published)
      : undefined;
  try {
    const alone = await measureAlone(load);
    const endRollout = await startUsage(system);
    const rollout = await measureRollout(system, options);
    const rolloutUsage = await endRollout();
    const during = await load?.nextPeriod();
    const live = alone === undefined || during === undefined ? {} : { live: { alone, during } };
    return { plan, replicas, rollout, quietUsage, rolloutUsage, ...live };
  } finally {
    await load?.[Symbol.asyncDispose]();
  }
}

/** The first second of a load, in which connections are made, is left out. */
async function measureAlone(load: LiveLoad | undefined): Promise<LiveResult | undefined> {
  if (load === undefined) return undefined;
  await delay(BASELINE_MILLISECONDS / 5);
  await load.nextPeriod();
  await delay(BASELINE_MILLISECONDS);
  return load.nextPeriod();
}
