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
const ROLLOUT_BOUND_MILLISECONDS = 20_000;
const PROGRESS_MILLISECONDS = 200;
const REQUESTS_PER_SECOND = 60;
const LOAD_SEED = 7;
/** Time for which requests flow before and after the change, in milliseconds. */
const STEADY_MILLISECONDS = 1_000;
const ANSWER_TOKENS = 12;

/** Writes a line for people. */
export type Narrator = (line: string) => void;

/** What the changes of version under load gave. */
export interface LoadResult {
  readonly requests: number;
  readonly failed: number;
  readonly mixedVersions: number;
}

/** Applies the fleet with one version and waits until all upstreams serve it. */
export async function rollOut(system: System, version: string, say: Narrator): Promise<number> {
  const { model } = quickstartNames;
  const { digest } = await system.fetchManifest(model, version);
  const startedAt = monotonicClock.now();
  const reply = await applyFleet(system, quickstartFleet(version).input);
  if (reply.kind !== 'accepted') throw new Error(`the fleet was not accepted: ${reply.kind}`);
  say(`revision ${reply.revision} is accepted: ${model} version ${version}`);
  const entry = system.withRole('entry')[0]?.name ?? '';
  let shown = '';
  for (;;) {
    const progress = await rolloutProgress(system, entry, model, digest);
    const line = progressLine(progress);
    if (line !== shown) say(line);
    shown = line;
    if (isLiveEverywhere(progress)) break;
    if (monotonicClock.now() - startedAt > ROLLOUT_BOUND_MILLISECONDS) {
      throw new Error(`version ${version} was not live everywhere in time`);
    }
    await delay(PROGRESS_MILLISECONDS);
  }
  const seconds = (monotonicClock.now() - startedAt) / MILLISECONDS_PER_SECOND;
  await waitForRevision(system, reply.revision);
  return seconds;
}

/** Streams one answer of the model and tells whether it was right. */
export async function streamAnswer(system: System, say: Narrator): Promise<boolean> {
  const { model, team } = quickstartNames;
  const { digest } = await system.fetchManifest(model, '1');
  const entry = system.entryUrl(system.withRole('entry')[0]?.name ?? '');
  const prompt = 'Draft a plan for a raft on the lagoon.';
  const probe = { entry, service: model, team, prompt, tokens: ANSWER_TOKENS, stream: true };
  const result = await sendProbe(system, probe, new Set([digest]));
  say(
    `streamed answer: ${result.right ? 'whole' : 'WRONG'}, first byte after ` +
      `${Math.round(result.firstByteMilliseconds)} ms, whole after ${Math.round(result.totalMilliseconds)} ms`,
  );
  return result.right && !result.mixed;
}

/** Sends one deposit through two entries and returns how often it ran. */
export async function depositTwice(system: System, say: Narrator): Promise<number> {
  const { service, team } = quickstartNames;
  const key = `deposit-${randomUUID()}`;
  const entries = [system.withRole('entry')[0], system.withRole('entry').at(-1)];
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
    say(`deposit through ${entry.name}: status ${answer.status}, run ${answer.run ?? '?'}`);
  }
  const agent = system.agentsOf(service)[0]?.name ?? '';
  const { runsByKey } = await system.plain(agent).counts();
  const runs = runsByKey[key] ?? 0;
  say(`the service ran the deposit ${runs} time(s)`);
  return runs;
}

/** Changes the version while requests flow through all entries. */
export async function changeUnderLoad(system: System, say: Narrator): Promise<LoadResult> {
  const { model, team } = quickstartNames;
  const manifests = await Promise.all(
    ['1', '2'].map(async (name) => system.fetchManifest(model, name)),
  );
  const published = new Set(manifests.map(({ digest }) => digest));
  const entries = system.withRole('entry').map(({ name }) => system.entryUrl(name));
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
      if (result.right) return;
      failed += 1;
      const code = String(result.code);
      codes[code] = (codes[code] ?? 0) + 1;
    },
  });
  try {
    await delay(STEADY_MILLISECONDS);
    await rollOut(system, '2', say);
    await delay(STEADY_MILLISECONDS);
  } finally {
    stop.abort();
    await load.finished;
  }
  const detail = failed === 0 ? '' : ` by result ${JSON.stringify(codes)}`;
  say(`${requests} requests during the change: ${failed} failed${detail}, ${mixedVersions} mixed`);
  return { requests, failed, mixedVersions };
}

/** Shuts all daemons down in order and tells whether each ended cleanly. */
export async function shutDown(system: System, say: Narrator): Promise<boolean> {
  let clean = true;
  for (const role of ['entry', 'agent', 'control'] as const) {
    const names = system.withRole(role).map(({ name }) => name);
    const codes = await Promise.all(names.map(async (name) => system.processes.stop(name)));
    const unclean = names.filter((_name, index) => codes[index] !== 0);
    if (unclean.length > 0) say(`not ended cleanly: ${unclean.join(', ')}`);
    clean &&= unclean.length === 0;
    say(`${names.length} processes with the role ${role} have ended`);
  }
  say(`all processes ended${clean ? ' cleanly' : ''}`);
  return clean;
}
