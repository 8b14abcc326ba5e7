import { randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import { monotonicClock } from '@burdockrail/common/timeSource.js';
import type { System } from '@burdockrail/harness/system.js';
import { applyFleet, waitForRevision } from '@burdockrail/harness/systemOperation.js';
import { startOpenLoop } from './openLoopLoad.js';
import { sendProbe } from './modelProbe.js';
import { quickstartFleet, quickstartNames } from './quickstartFleet.js';
import { isLiveEverywhere, progressLine, rolloutProgress } from './rolloutProgress.js';

const MILLISECONDS_PER_SECOND = 1_000;
const ROLLOUT_TIMEOUT_MILLISECONDS = 20_000;
const PROGRESS_INTERVAL_MILLISECONDS = 200;
const REQUESTS_PER_SECOND = 60;
const LOAD_SEED = 7;
/** Time under load before and after the version change, in milliseconds. */
const STEADY_MILLISECONDS = 1_000;
const ANSWER_TOKENS = 12;

/** Prints a progress line to the terminal. */
export type ProgressPrinter = (line: string) => void;

/** Result of a version change under load. */
export interface LoadResult {
  readonly requests: number;
  readonly failed: number;
  /** Answers that did not come from a single published version. */
  readonly mixedVersions: number;
}

/** Applies the fleet with a version, waits until all upstreams serve it and returns the seconds taken. */
export async function rollOut(
  system: System,
  version: string,
  print: ProgressPrinter,
): Promise<number> {
  const { model } = quickstartNames;
  const { digest } = await system.fetchManifest(model, version);
  const startedAt = monotonicClock.now();
  const reply = await applyFleet(system, quickstartFleet(version).input);
  if (reply.kind !== 'accepted') throw new Error(`the fleet was not accepted: ${reply.kind}`);
  print(`revision ${reply.revision} is accepted: ${model} version ${version}`);
  const entry = system.machinesWithRole('entry')[0]?.name ?? '';
  let lastLine = '';
  for (;;) {
    const progress = await rolloutProgress(system, entry, model, digest);
    const line = progressLine(progress);
    if (line !== lastLine) print(line);
    lastLine = line;
    if (isLiveEverywhere(progress)) break;
    if (monotonicClock.now() - startedAt > ROLLOUT_TIMEOUT_MILLISECONDS) {
      throw new Error(`version ${version} was not live on all upstreams before the timeout`);
    }
    await delay(PROGRESS_INTERVAL_MILLISECONDS);
  }
  const seconds = (monotonicClock.now() - startedAt) / MILLISECONDS_PER_SECOND;
  await waitForRevision(system, reply.revision);
  return seconds;
}

/** Streams one model answer and returns whether it was correct. */
export async function streamAnswer(system: System, print: ProgressPrinter): Promise<boolean> {
  const { model, team } = quickstartNames;
  const { digest } = await system.fetchManifest(model, '1');
  const entry = system.entryUrl(system.machinesWithRole('entry')[0]?.name ?? '');
  const prompt = 'Draft a plan for a raft on the lagoon.';
  const probe = { entry, service: model, team, prompt, tokens: ANSWER_TOKENS, stream: true };
  const result = await sendProbe(system, probe, new Set([digest]));
  print(
    `streamed answer: ${result.correct ? 'correct' : 'WRONG'}, first byte after ` +
      `${Math.round(result.firstByteMilliseconds)} ms, complete after ${Math.round(result.totalMilliseconds)} ms`,
  );
  return result.correct && !result.mixed;
}

/** Sends the same deposit through two entries and returns how often it ran. */
export async function depositTwice(system: System, print: ProgressPrinter): Promise<number> {
  const { service, team } = quickstartNames;
  const key = `deposit-${randomUUID()}`;
  const entries = [system.machinesWithRole('entry')[0], system.machinesWithRole('entry').at(-1)];
  for (const entry of entries) {
    if (entry === undefined) continue;
    const answer = await system.callers.callService({
      entry: system.entryUrl(entry.name),
      service,
      team,
      path: '/deposits',
      body: JSON.stringify({ raft: 'vapor-3', amount: 120 }),
      idempotencyKey: key,
    });
    print(`deposit through ${entry.name}: status ${answer.status}, run ${answer.run ?? '?'}`);
  }
  const agent = system.agentsOf(service)[0]?.name ?? '';
  const { runsByKey } = await system.plainServiceClient(agent).counts();
  const runs = runsByKey[key] ?? 0;
  print(`the service ran the deposit ${runs} time(s)`);
  return runs;
}

/** Changes the model's version under load through all entries. */
export async function changeVersionUnderLoad(
  system: System,
  print: ProgressPrinter,
): Promise<LoadResult> {
  const { model, team } = quickstartNames;
  const manifests = await Promise.all(
    ['1', '2'].map(async (name) => system.fetchManifest(model, name)),
  );
  const published = new Set(manifests.map(({ digest }) => digest));
  const entries = system.machinesWithRole('entry').map(({ name }) => system.entryUrl(name));
  const stop = new AbortController();
  const codes: Record<string, number> = {};
  let requests = 0;
  let failed = 0;
  let mixedVersions = 0;
  const load = startOpenLoop({
    requestsPerSecond: REQUESTS_PER_SECOND,
    seed: LOAD_SEED,
    stop: stop.signal,
    send: async (number, random) => {
      const entry = entries[random.nextInteger(entries.length)] ?? '';
      const prompt = `Question ${number} of a guest.`;
      const stream = number % 2 === 0;
      const probe = { entry, service: model, team, prompt, tokens: ANSWER_TOKENS, stream };
      const result = await sendProbe(system, probe, published);
      requests += 1;
      if (result.mixed) mixedVersions += 1;
      if (result.correct) return;
      failed += 1;
      const code = String(result.code);
      codes[code] = (codes[code] ?? 0) + 1;
    },
  });
  try {
    await delay(STEADY_MILLISECONDS);
    await rollOut(system, '2', print);
    await delay(STEADY_MILLISECONDS);
  } finally {
    stop.abort();
    await load.finished;
  }
  const detail = failed === 0 ? '' : ` by result ${JSON.stringify(codes)}`;
  print(
    `${requests} requests during the change: ${failed} failed${detail}, ${mixedVersions} mixed`,
  );
  return { requests, failed, mixedVersions };
}

/** Shuts all daemons down, one role after the other; returns whether all exited with code 0. */
export async function shutDown(system: System, print: ProgressPrinter): Promise<boolean> {
  let allExitedCleanly = true;
  for (const role of ['entry', 'agent', 'control'] as const) {
    const names = system.machinesWithRole(role).map(({ name }) => name);
    const codes = await Promise.all(names.map(async (name) => system.processes.stop(name)));
    const failedNames = names.filter((_name, index) => codes[index] !== 0);
    if (failedNames.length > 0) print(`not ended cleanly: ${failedNames.join(', ')}`);
    allExitedCleanly &&= failedNames.length === 0;
    print(`${names.length} processes with the role ${role} have ended`);
  }
  print(`all processes ended${allExitedCleanly ? ' cleanly' : ''}`);
  return allExitedCleanly;
}
