import type { Role } from '@burdockrail/protocol/protocolAddress.js';
import { linkRates, rolloutLimits, type RolloutLimits } from './measureLimits.js';
import type { MeasureOptions, PlanName } from './measureOptions.js';
import type { MeasuredRun } from './measureRun.js';
import type { RoleUsage, UsageReport } from './measureUsage.js';

/** Medians over the rounds of one plan at one replica count. */
export interface MeasureSummary {
  readonly plan: PlanName;
  readonly replicas: number;
  readonly rounds: number;
  /** Time until the last replica was live. */
  readonly secondsToLive: number;
  /** Time until half of the replicas were live. */
  readonly medianSecondsToLive: number;
  readonly limitSeconds: number;
  readonly limitBound: RolloutLimits['bottleneck'];
  readonly ratioToLimit: number;
  readonly originCopies: number;
  /** Copies that entered a region from other regions: mean over regions, and the highest. */
  readonly interRegionCopies: number;
  readonly highestRegionCopies: number;
  /** p95 of live requests during the rollout divided by the p95 before; null without live load. */
  readonly liveP95Ratio: number | null;
  readonly liveFailed: number;
  readonly liveMixed: number;
  /** Replicas that were not live at the timeout, in the worst round. */
  readonly missing: number;
  /** Time until the last replica was live, for each round. */
  readonly seconds: readonly number[];
}

/** Median; the mean of the two middle values of an even number. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const upper = sorted[Math.floor(sorted.length / 2)] ?? NaN;
  if (sorted.length % 2 === 1) return upper;
  return ((sorted[sorted.length / 2 - 1] ?? NaN) + upper) / 2;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function p95Ratio(run: MeasuredRun): number | null {
  if (run.live === undefined) return null;
  return run.live.duringRollout.total.p95 / run.live.baseline.total.p95;
}

/** Limits of one run; only chunks that the old version lacks are transferred. */
export function rolloutLimitsOf(options: MeasureOptions): RolloutLimits {
  const newBytes = options.weightBytes * (1 - options.sharedChunks);
  const rates = linkRates(options.weightBytes, options.windowSeconds);
  return rolloutLimits(newBytes, options.dataCentres, rates);
}

/** Summarizes the rounds of one plan at one replica count. */
export function summarizeRuns(
  options: MeasureOptions,
  runs: readonly MeasuredRun[],
): MeasureSummary {
  const first = runs[0];
  if (first === undefined) throw new Error('no measured runs to summarize');
  const limits = rolloutLimitsOf(options);
  const last = runs.map(({ rollout }) => rollout.secondsToLive.at(-1) ?? Infinity);
  const copies = runs.map(({ rollout }) => Object.values(rollout.copiesByRegion));
  const ratios = runs.map(p95Ratio).filter((ratio) => ratio !== null);
  const secondsToLive = median(last);
  return {
    plan: first.plan,
    replicas: first.replicas,
    rounds: runs.length,
    secondsToLive,
    medianSecondsToLive: median(runs.map(({ rollout }) => median(rollout.secondsToLive))),
    limitSeconds: limits.seconds,
    limitBound: limits.bottleneck,
    ratioToLimit: secondsToLive / limits.seconds,
    originCopies: median(runs.map(({ rollout }) => rollout.originCopies)),
    interRegionCopies: median(copies.map(mean)),
    highestRegionCopies: median(copies.map((each) => Math.max(...each))),
    liveP95Ratio: ratios.length === 0 ? null : median(ratios),
    liveFailed: runs.reduce((sum, { live }) => sum + (live?.duringRollout.failed ?? 0), 0),
    liveMixed: runs.reduce((sum, { live }) => sum + (live?.duringRollout.mixed ?? 0), 0),
    missing: Math.max(...runs.map(({ rollout }) => rollout.missing)),
    seconds: last,
  };
}

/** Message families with a lower rate are not shown. */
const MINIMUM_SHOWN_BYTES_PER_SECOND = 10;

function formatRoleUsage(role: Role, usage: RoleUsage): string {
  const core = `${(usage.cores * 100).toFixed(1)}% of a core`;
  const memory = `${(usage.residentBytes / 1e6).toFixed(0)} MB`;
  const control = `${(usage.controlBytesPerSecond / 1e3).toFixed(2)} KB/s of control`;
  const sent = `${(usage.sentBytesPerSecond / 1e3).toFixed(2)} KB/s over links`;
  const families = Object.entries(usage.bytesPerSecondByFamily)
    .filter(([, bytes]) => bytes >= MINIMUM_SHOWN_BYTES_PER_SECOND)
    .map(([family, bytes]) => `${family} ${(bytes / 1e3).toFixed(2)}`);
  return `${role} x${usage.processes}: ${core}, ${memory}, ${control}, ${sent} (${families.join(', ')})`;
}

function formatUsage(title: string, report: UsageReport): readonly string[] {
  const roles = Object.entries(report.roles) as readonly (readonly [Role, RoleUsage])[];
  const busy = `${(report.busyShare * 100).toFixed(0)}% of all cores busy`;
  const bench = report.benchCores;
  return [
    `  ${title}: cores used by the proxy ${bench.proxy.toFixed(2)}, stand-ins ${bench.standins.toFixed(2)}, load ${bench.load.toFixed(2)}; ${busy}`,
    ...roles.map(([role, usage]) => `    ${formatRoleUsage(role, usage)}`),
  ];
}

function formatLiveResults(run: MeasuredRun): readonly string[] {
  if (run.live === undefined) return [];
  const { baseline, duringRollout } = run.live;
  const line = (
    title: string,
    { total, firstByte, failed, mixed, failuresByCode }: typeof baseline,
  ): string =>
    `  live ${title}: ${total.count} right, p50 ${total.p50.toFixed(0)} ms, p95 ${total.p95.toFixed(0)} ms, ` +
    `first byte p95 ${firstByte.p95.toFixed(0)} ms, ${failed} failed ${JSON.stringify(failuresByCode)}, ${mixed} mixed`;
  return [line('alone ', baseline), line('during', duringRollout)];
}

/** Formats one run for the terminal. */
export function formatRun(options: MeasureOptions, run: MeasuredRun): readonly string[] {
  const limits = rolloutLimitsOf(options);
  const { rollout } = run;
  const last = rollout.secondsToLive.at(-1) ?? Infinity;
  const regions = Object.entries(rollout.copiesByRegion).map(
    ([region, copies]) => `${region} ${copies.toFixed(3)}`,
  );
  return [
    `${run.plan} N=${run.replicas}: last live ${last.toFixed(2)} s, median ${median(rollout.secondsToLive).toFixed(2)} s ` +
      `(limit ${limits.seconds.toFixed(2)} s by ${limits.bottleneck}), missing ${rollout.missing}`,
    `  origin ${rollout.originCopies.toFixed(3)} copies (limit ${limits.originCopies}), ` +
      `from other regions into ${regions.join(', ')} (limit ${limits.interRegionCopies.toFixed(3)} on average)`,
    ...formatLiveResults(run),
    ...formatUsage('at rest', run.idleUsage),
    ...formatUsage('rollout', run.rolloutUsage),
  ];
}
