import { setTimeout as delay } from 'node:timers/promises';
import { exitOnSignals } from '@burdockrail/harness/daemonProcess.js';
import type { System } from '@burdockrail/harness/system.js';
import { startServingSystem } from '@burdockrail/harness/systemOperation.js';
import { createLatencyRecorder, type LatencySummary } from './latencySummary.js';
import { nextArrival, type Arrival } from './loadArrivals.js';
import { loadLayout, loadNames } from './loadLayout.js';
import { loadUsage, parseLoadOptions, type LoadOptions } from './loadOptions.js';
import { sendProbe } from './modelProbe.js';
import { startOpenLoop } from './openLoopLoad.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Results of one team and request class. */
interface ResultGroup {
  readonly firstByte: ReturnType<typeof createLatencyRecorder>;
  readonly total: ReturnType<typeof createLatencyRecorder>;
  /** Number of answers by result code; `right` counts the correct ones. */
  readonly results: Record<string, number>;
}

/** Report line of one team and request class. */
export interface LoadReportLine {
  readonly team: string;
  readonly class: string;
  /** Correct answers only. */
  readonly firstByte: LatencySummary;
  readonly total: LatencySummary;
  readonly results: Readonly<Record<string, number>>;
}

/** Report of a load run. */
export interface LoadReport {
  readonly lines: readonly LoadReportLine[];
  /** Requests that engines received, divided by the model requests that were sent. */
  readonly modelAttemptsPerRequest: number;
  /** Share of prompt blocks found in the engines' prefix caches. */
  readonly prefixHitShare: number;
  /** Answers that did not come from a single published version. */
  readonly mixed: number;
}

interface SentResult {
  readonly correct: boolean;
  readonly mixed: boolean;
  readonly code: number | null;
  readonly firstByteMilliseconds: number;
  readonly totalMilliseconds: number;
}

async function sendPlainRequest(
  system: System,
  entry: string,
  arrival: Arrival,
): Promise<SentResult> {
  try {
    const answer = await system.callers.callService({
      entry,
      service: loadNames.plain,
      team: arrival.team,
      path: '/lookup',
      method: 'GET',
      headers: { 'x-test-key': arrival.key },
    });
    return { ...answer, correct: answer.status === 200, mixed: false };
  } catch {
    const noAnswer = { firstByteMilliseconds: Infinity, totalMilliseconds: Infinity };
    return { correct: false, mixed: false, code: null, ...noAnswer };
  }
}

async function makeEnginesFail(system: System, share: number): Promise<void> {
  const agents = system.agentsOf(loadNames.model);
  const failing = agents.filter((_agent, index) => index < Math.round(agents.length * share));
  await Promise.all(
    failing.map(async ({ name }) => system.engineClient(name).faults([{ kind: 'error' }])),
  );
}

async function engineTotals(system: System) {
  const reports = await Promise.all(
    system.agentsOf(loadNames.model).map(async ({ name }) => system.engineClient(name).counts()),
  );
  const sum = (pick: (report: (typeof reports)[number]) => number): number =>
    reports.reduce((total, report) => total + pick(report), 0);
  return {
    attempts: sum(({ requests }) => requests),
    blocks: sum(({ prefixBlocks }) => prefixBlocks),
    missed: sum(({ prefixBlocksMissed }) => prefixBlocksMissed),
  };
}

/** Sends the load to a serving system. */
export async function runLoad(system: System, options: LoadOptions): Promise<LoadReport> {
  const entries = system.machinesWithRole('entry').map(({ name }) => system.entryUrl(name));
  const groups = new Map<string, ResultGroup>();
  const published = new Set([(await system.fetchManifest(loadNames.model, '1')).digest]);
  const stop = new AbortController();
  let modelRequests = 0;
  let mixed = 0;

  const groupOf = (arrival: Arrival): ResultGroup => {
    const key = `${arrival.team} ${arrival.class}`;
    const group = groups.get(key) ?? {
      firstByte: createLatencyRecorder(),
      total: createLatencyRecorder(),
      results: {},
    };
    groups.set(key, group);
    return group;
  };

  const send = async (arrival: Arrival): Promise<SentResult> => {
    const entry = entries[arrival.entry] ?? '';
    if (arrival.class === 'plain') return sendPlainRequest(system, entry, arrival);
    modelRequests += 1;
    const { team, prompt } = arrival;
    const probe = { entry, service: loadNames.model, team, prompt, tokens: options.tokens };
    return sendProbe(system, { ...probe, stream: true }, published);
  };

  const load = startOpenLoop({
    requestsPerSecond: options.requestsPerSecond,
    seed: options.seed,
    stop: stop.signal,
    send: async (number, random) => {
      const arrival = nextArrival(options, entries.length, number, random);
      const result = await send(arrival);
      const group = groupOf(arrival);
      const outcome = result.correct ? 'right' : String(result.code);
      group.results[outcome] = (group.results[outcome] ?? 0) + 1;
      if (result.mixed) mixed += 1;
      if (!result.correct) return;
      group.firstByte.record(result.firstByteMilliseconds);
      group.total.record(result.totalMilliseconds);
    },
  });
  await delay(options.seconds * MILLISECONDS_PER_SECOND);
  stop.abort();
  await load.finished;

  const totals = await engineTotals(system);
  const lines = [...groups.entries()].sort().map(([key, group]) => {
    const [team = '', name = ''] = key.split(' ');
    const { firstByte, total, results } = group;
    return { team, class: name, firstByte: firstByte.summary(), total: total.summary(), results };
  });
  return {
    lines,
    modelAttemptsPerRequest: totals.attempts / Math.max(1, modelRequests),
    prefixHitShare: totals.blocks === 0 ? 0 : 1 - totals.missed / totals.blocks,
    mixed,
  };
}

function printReport(report: LoadReport): void {
  for (const { team, class: name, firstByte, total, results } of report.lines) {
    const times = `first byte p50 ${firstByte.p50.toFixed(0)} p95 ${firstByte.p95.toFixed(0)} ms, whole p50 ${total.p50.toFixed(0)} p95 ${total.p95.toFixed(0)} ms`;
    process.stdout.write(
      `${team.padEnd(10)} ${name.padEnd(6)} ${times}, ${JSON.stringify(results)}\n`,
    );
  }
  process.stdout.write(
    `attempts per model request ${report.modelAttemptsPerRequest.toFixed(3)}, ` +
      `prefix hits ${(report.prefixHitShare * 100).toFixed(1)}%, mixed ${report.mixed}\n`,
  );
}

/** Runs the load tool with command-line arguments; resolves with the exit code. */
export async function runLoadTool(parameters: readonly string[]): Promise<number> {
  let options: LoadOptions;
  try {
    options = parseLoadOptions(parameters);
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    process.stderr.write(loadUsage);
    return 2;
  }
  exitOnSignals();
  await using system = await startServingSystem(loadLayout(options));
  await makeEnginesFail(system, options.failingShare);
  const report = await runLoad(system, options);
  printReport(report);
  if (options.json) process.stdout.write(`${JSON.stringify({ options, ...report })}\n`);
  return report.mixed === 0 ? 0 : 1;
}
