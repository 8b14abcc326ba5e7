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
  changeUnderLoad,
  depositTwice,
  rollOut,
  shutDown,
  streamAnswer,
  type Narrator,
} from './quickstartSteps.js';

const MILLISECONDS_PER_SECOND = 1_000;
const COPIES_DIGITS = 3;

/** Last line of the quickstart. */
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

function rounded(value: number): number {
  return Number(value.toFixed(COPIES_DIGITS));
}

async function originCopies(system: System): Promise<number> {
  const { model } = quickstartNames;
  const { size } = await system.fetchManifest(model, '1');
  const { bytesByVersion } = await system.origin.counts();
  return rounded((bytesByVersion[`${model}/1`] ?? 0) / size);
}

async function runSteps(system: System, say: Narrator): Promise<QuickstartSummary> {
  const { model, service } = quickstartNames;
  await formCluster(system);
  say('the quorum groups are formed');
  const secondsToLive = rounded(await rollOut(system, '1', say));
  const copies = await originCopies(system);
  say(`version 1 is live after ${secondsToLive} s; the origin sent ${copies} copies`);
  await waitUntilReady(system);
  await waitUntilServing(system, model);
  await waitUntilServing(system, service);
  const answered = await streamAnswer(system, say);
  const depositRuns = await depositTwice(system, say);
  const load = await changeUnderLoad(system, say);
  const clean = await shutDown(system, say);
  const held = load.failed === 0 && load.mixedVersions === 0 && load.requests > 0;
  return {
    ok: answered && depositRuns === 1 && held && clean,
    replicas: system.agentsOf(model).length,
    secondsToLive,
    originCopies: copies,
    depositRuns,
    ...load,
  };
}

/** Runs the quickstart with its command line; resolves with the exit code. */
export async function runQuickstart(parameters: readonly string[]): Promise<number> {
  exitOnSignals();
  const json = parameters.includes('--json');
  const startedAt = monotonicClock.now();
  const say: Narrator = (line) => {
    const seconds = (monotonicClock.now() - startedAt) / MILLISECONDS_PER_SECOND;
    process.stdout.write(`${seconds.toFixed(1).padStart(5)} s  ${line}\n`);
  };
  say('starting 3 control replicas, 6 entries, 12 agents with engines and 1 with a plain service');
  await using system = await startSystem(quickstartLayout);
  say(`${system.processes.names.length} processes are ready`);
  try {
    const summary = await runSteps(system, say);
    say(summary.ok ? 'all of it held' : 'NOT all of it held');
    if (json) process.stdout.write(`${JSON.stringify(summary)}\n`);
    else say(`summary: ${JSON.stringify(summary)}`);
    return summary.ok ? 0 : 1;
  } catch (error) {
    await printLogTails(system);
    say(`failed: ${error instanceof Error ? error.message : String(error)}`);
    if (json) process.stdout.write(`${JSON.stringify({ ok: false })}\n`);
    return 1;
  }
}
