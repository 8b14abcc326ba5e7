import { exitOnSignals } from '@burdockrail/harness/daemonProcess.js';
import {
  printLogTails,
  formCluster,
  waitUntilReady,
  waitUntilServing,
} from '@burdockrail/harness/systemOperation.js';
import { startSystem, type System } from '@burdockrail/harness/system.js';
import { monotonicClock } from '@burdockrail/common/timeSource.js';
import { quickstartLayout, quickstartNames } from './quickstartFleet.js';
import {
  changeVersionUnderLoad,
  depositTwice,
  rollOut,
  shutDown,
  streamAnswer,
  type ProgressPrinter,
} from './quickstartSteps.js';

const MILLISECONDS_PER_SECOND = 1_000;
const FRACTION_DIGITS = 3;

/** Summary that the quickstart prints as its last line. */
interface QuickstartSummary {
  readonly ok: boolean;
  readonly replicas: number;
  readonly secondsToLive: number;
  readonly originCopies: number;
  readonly depositRuns: number;
  readonly requests: number;
  readonly failed: number;
  readonly mixedVersions: number;
}

function roundNumber(value: number): number {
  return Number(value.toFixed(FRACTION_DIGITS));
}

async function originCopies(system: System): Promise<number> {
  const { model } = quickstartNames;
  const { size } = await system.fetchManifest(model, '1');
  const { bytesByVersion } = await system.origin.counts();
  return roundNumber((bytesByVersion[`${model}/1`] ?? 0) / size);
}

async function runSteps(system: System, print: ProgressPrinter): Promise<QuickstartSummary> {
  const { model, service } = quickstartNames;
  await formCluster(system);
  print('the quorum groups are formed');
  const secondsToLive = roundNumber(await rollOut(system, '1', print));
  const copies = await originCopies(system);
  print(`version 1 is live after ${secondsToLive} s; the origin sent ${copies} copies`);
  await waitUntilReady(system);
  await waitUntilServing(system, model);
  await waitUntilServing(system, service);
  const answered = await streamAnswer(system, print);
  const depositRuns = await depositTwice(system, print);
  const load = await changeVersionUnderLoad(system, print);
  const clean = await shutDown(system, print);
  const loadSucceeded = load.failed === 0 && load.mixedVersions === 0 && load.requests > 0;
  return {
    ok: answered && depositRuns === 1 && loadSucceeded && clean,
    replicas: system.agentsOf(model).length,
    secondsToLive,
    originCopies: copies,
    depositRuns,
    ...load,
  };
}

/** Runs the quickstart with command-line arguments; resolves with the exit code. */
export async function runQuickstart(parameters: readonly string[]): Promise<number> {
  exitOnSignals();
  const json = parameters.includes('--json');
  const startedAt = monotonicClock.now();
  const print: ProgressPrinter = (line) => {
    const seconds = (monotonicClock.now() - startedAt) / MILLISECONDS_PER_SECOND;
    process.stdout.write(`${seconds.toFixed(1).padStart(5)} s  ${line}\n`);
  };
  print(
    'starting 3 control replicas, 6 entries, 12 agents with engines and 1 with a plain service',
  );
  await using system = await startSystem(quickstartLayout);
  print(`${system.processes.names.length} processes are ready`);
  try {
    const summary = await runSteps(system, print);
    print(summary.ok ? 'all checks passed' : 'NOT all checks passed');
    if (json) process.stdout.write(`${JSON.stringify(summary)}\n`);
    else print(`summary: ${JSON.stringify(summary)}`);
    return summary.ok ? 0 : 1;
  } catch (error) {
    await printLogTails(system);
    print(`failed: ${error instanceof Error ? error.message : String(error)}`);
    if (json) process.stdout.write(`${JSON.stringify({ ok: false })}\n`);
    return 1;
  }
}
