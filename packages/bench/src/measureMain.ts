import { exitOnSignals } from '@burdockrail/harness/daemonProcess.js';
import { measureUsage, parseMeasureOptions, type MeasureOptions } from './measureOptions.js';
import { writePlot } from './measurePlot.js';
import { measureRun, type MeasuredRun } from './measureRun.js';
import { formatRun, summarizeRuns, type MeasureSummary } from './measureSummary.js';

const FRACTION_DIGITS = 3;

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function round(value: unknown): unknown {
  return typeof value === 'number' ? Number(value.toFixed(FRACTION_DIGITS)) : value;
}

function roundNumbers(summary: MeasureSummary): object {
  const entries = Object.entries(summary).map(([key, value]: [string, unknown]) => [
    key,
    Array.isArray(value) ? value.map(round) : round(value),
  ]);
  return Object.fromEntries(entries) as object;
}

/** Measures every plan at every replica count; the plans alternate within each round. */
async function measureAll(options: MeasureOptions): Promise<readonly MeasureSummary[]> {
  const summaries: MeasureSummary[] = [];
  for (const replicas of options.replicas) {
    const runs: MeasuredRun[] = [];
    for (let round = 1; round <= options.rounds; round += 1) {
      for (const plan of options.plans) {
        const run = await measureRun(options, replicas, plan);
        for (const line of formatRun(options, run)) printLine(line);
        runs.push(run);
      }
    }
    for (const plan of options.plans) {
      summaries.push(
        summarizeRuns(
          options,
          runs.filter((run) => run.plan === plan),
        ),
      );
    }
  }
  return summaries;
}

function printTable(options: MeasureOptions, summaries: readonly MeasureSummary[]): void {
  const scale = `${options.weightBytes / 1024 / 1024} MiB in a window of ${options.windowSeconds} s`;
  printLine(`medians of ${options.rounds} round(s); weights of ${scale}, fault ${options.fault}`);
  for (const summary of summaries) {
    const ratio = summary.liveP95Ratio === null ? '-' : summary.liveP95Ratio.toFixed(2);
    printLine(
      `${summary.plan.padEnd(6)} N=${String(summary.replicas).padEnd(3)} last ${summary.secondsToLive.toFixed(2)} s ` +
        `= ${summary.ratioToLimit.toFixed(2)} x limit, origin ${summary.originCopies.toFixed(3)}, ` +
        `between regions ${summary.interRegionCopies.toFixed(3)} (highest ${summary.highestRegionCopies.toFixed(3)}), ` +
        `live p95 ratio ${ratio}, missing ${summary.missing}`,
    );
  }
}

/** Runs the measurement with command-line arguments; resolves with the exit code. */
export async function runMeasure(parameters: readonly string[]): Promise<number> {
  let options: MeasureOptions;
  try {
    options = parseMeasureOptions(parameters);
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    process.stderr.write(measureUsage);
    return 2;
  }
  exitOnSignals();
  const summaries = await measureAll(options);
  printTable(options, summaries);
  if (options.plot !== undefined) await writePlot(options.plot, summaries);
  const shown = summaries.findLast(({ plan }) => plan === options.plans[0]);
  if (shown === undefined) return 1;
  if (options.json)
    printLine(JSON.stringify({ ...roundNumbers(shown), runs: summaries.map(roundNumbers) }));
  return summaries.every(({ missing }) => missing === 0) ? 0 : 1;
}
