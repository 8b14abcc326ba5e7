import assert from 'node:assert/strict';
import {
  answerText,
  chatPromptText,
  type CallerAnswer,
  type ModelRequest,
} from '@burdockrail/harness/callerClient.js';
import type { System } from '@burdockrail/harness/system.js';
import type { SystemLayout } from '@burdockrail/harness/systemLayout.js';
import { layoutFleet } from '@burdockrail/harness/systemLayout.js';
import { applyFleet } from '@burdockrail/harness/systemOperation.js';
import { waitUntil } from '@burdockrail/harness/waitUntil.js';
import { expectedAnswer } from '@burdockrail/standins/enginePrompt.js';
import type { WeightVersion } from '@burdockrail/standins/weightContent.js';

const MEBIBYTE = 1024 * 1024;

export const MODEL = 'fogo-llm';
export const TEAM = 'piers';

/** Versions that the proofs roll out; they have no chunk in common. */
export const versions: readonly WeightVersion[] = ['one', 'two'].map((version) => ({
  model: MODEL,
  version,
  size: 4 * MEBIBYTE,
  chunkSize: MEBIBYTE / 16,
}));

/** Two data centres with a model service; engines swap weights under running requests. */
export function modelLayout(change: Partial<SystemLayout> = {}): SystemLayout {
  return {
    dataCentres: [
      { name: 'sul-lagoa', region: 'sul-lagoa' },
      { name: 'serra-leste', region: 'serra-leste' },
    ],
    controls: { 'sul-lagoa': 2, 'serra-leste': 1 },
    entries: { 'sul-lagoa': 2, 'serra-leste': 1 },
    services: [
      {
        name: MODEL,
        kind: 'model',
        home: 'sul-lagoa',
        upstreams: { 'sul-lagoa': 2, 'serra-leste': 2 },
        weights: { model: MODEL, version: 'one' },
        engine: { swapsWhileRunning: true },
      },
    ],
    teams: [{ name: TEAM }],
    versions,
    controlsAreEntries: true,
    links: {
      betweenRegionsMilliseconds: 1,
      machineBytesPerSecond: 2 * MEBIBYTE,
      separateProxyProcess: true,
    },
    ...change,
  };
}

/** Puts a version of the model into force. */
export async function applyVersion(system: System, version: string): Promise<void> {
  const fleet = layoutFleet(system.layout);
  const services = fleet.services.map((service) =>
    service.name === MODEL ? { ...service, weights: { model: MODEL, version } } : service,
  );
  await applyFleet(system, { ...fleet, services });
}

/** Waits until engines hold exactly the bytes of a version. */
export async function awaitEngines(
  system: System,
  version: string,
  agents: readonly string[] = system.agentsOf(MODEL).map(({ name }) => name),
  timeoutMilliseconds = 40_000,
): Promise<void> {
  const { digest } = await system.fetchManifest(MODEL, version);
  await Promise.all(
    agents.map(async (agent) =>
      waitUntil(
        async () =>
          (await system.engineClient(agent).counts()).digest === digest ? true : undefined,
        { description: `${version} at the engine of ${agent}`, timeoutMilliseconds },
      ),
    ),
  );
}

/** What a caller asked and what it got; null when its connection failed. */
export interface Exchange {
  readonly prompt: string;
  readonly tokens: number;
  readonly answer: CallerAnswer | null;
}

/** Sends one request and keeps it with its answer. */
export async function ask(
  system: System,
  entry: string,
  prompt: string,
  change: Partial<ModelRequest> = {},
): Promise<Exchange> {
  const tokens = change.maximumTokens ?? 12;
  const request = { entry: system.entryUrl(entry), service: MODEL, team: TEAM, prompt };
  const answer = await system.callers
    .callModel({ ...request, maximumTokens: tokens, ...change })
    .catch(() => null);
  return { prompt, tokens, answer };
}

/**
 * Asserts that an answer is the whole one to its own request, from one published version, or
 * carries a numbered error or no proper end.
 *
 * @returns whether the caller got its answer.
 */
export function assertOwnWholeOrError(
  { prompt, tokens, answer }: Exchange,
  digests: ReadonlySet<string>,
): boolean {
  if (!answer?.complete) return false;
  if (answer.status !== 200) {
    assert.ok((answer.code ?? 0) > 0, `status ${answer.status} without a result number`);
    return false;
  }
  assert.equal(answerText(answer), expectedAnswer(chatPromptText(prompt), tokens));
  assert.ok(digests.has(answer.version ?? ''), `answered by ${answer.version ?? 'nothing'}`);
  for (const digest of answer.eventDigests) assert.equal(digest, answer.version);
  return true;
}

/** Callers that ask again and again until they are stopped. */
export interface Callers {
  /** Stops the callers and gives all exchanges. */
  stop(): Promise<readonly Exchange[]>;
}

/** Starts callers at all entries; every second request is streamed. */
export function startCallers(system: System, perEntry: number): Callers {
  const exchanges: Exchange[] = [];
  let isStopped = false;
  const call = async (entry: string, caller: number): Promise<void> => {
    for (let number = 0; !isStopped; number += 1) {
      const prompt = `raft ${entry} ${caller} ${number}`;
      const stream = number % 2 === 0;
      exchanges.push(await ask(system, entry, prompt, { stream, maximumTokens: 20 }));
    }
  };
  const calls = system
    .withRole('entry')
    .flatMap(({ name }) =>
      Array.from({ length: perEntry }, async (_none, index) => call(name, index)),
    );
  return {
    stop: async () => {
      isStopped = true;
      await Promise.all(calls);
      return exchanges;
    },
  };
}

/** Digests of all published versions. */
export async function publishedDigests(system: System): Promise<ReadonlySet<string>> {
  const manifests = await Promise.all(
    versions.map(async ({ version }) => system.fetchManifest(MODEL, version)),
  );
  return new Set(manifests.map(({ digest }) => digest));
}
