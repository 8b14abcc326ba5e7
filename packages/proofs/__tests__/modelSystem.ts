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

/** Versions that the tests roll out; they have no chunks in common. */
export const versions: readonly WeightVersion[] = ['one', 'two'].map((version) => ({
  model: MODEL,
  version,
  size: 4 * MEBIBYTE,
  chunkSize: MEBIBYTE / 16,
}));

/** Two data centres with a model service whose engines swap weights while requests are running. */
export function modelLayout(overrides: Partial<SystemLayout> = {}): SystemLayout {
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
    ...overrides,
  };
}

/** Applies a fleet with a version of the model. */
export async function applyVersion(system: System, version: string): Promise<void> {
  const fleet = layoutFleet(system.layout);
  const services = fleet.services.map((service) =>
    service.name === MODEL ? { ...service, weights: { model: MODEL, version } } : service,
  );
  await applyFleet(system, { ...fleet, services });
}

/** Waits until engines report the digest of a version. */
export async function waitUntilEnginesLoaded(
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

/** A request and its answer; null when the connection failed. */
export interface Exchange {
  readonly prompt: string;
  readonly tokens: number;
  readonly answer: CallerAnswer | null;
}

/** Sends a model request and returns it with its answer. */
export async function sendModelRequest(
  system: System,
  entry: string,
  prompt: string,
  overrides: Partial<ModelRequest> = {},
): Promise<Exchange> {
  const tokens = overrides.maximumTokens ?? 12;
  const request = { entry: system.entryUrl(entry), service: MODEL, team: TEAM, prompt };
  const answer = await system.callers
    .callModel({ ...request, maximumTokens: tokens, ...overrides })
    .catch(() => null);
  return { prompt, tokens, answer };
}

/**
 * Asserts that a complete answer is either the correct one to its request, from one published
 * version, or an error with a result code. Missing and truncated answers pass.
 *
 * @returns whether the caller received the correct answer.
 */
export function assertCorrectAnswerOrError(
  { prompt, tokens, answer }: Exchange,
  digests: ReadonlySet<string>,
): boolean {
  if (!answer?.complete) return false;
  if (answer.status !== 200) {
    assert.ok((answer.code ?? 0) > 0, `status ${answer.status} without a result code`);
    return false;
  }
  assert.equal(answerText(answer), expectedAnswer(chatPromptText(prompt), tokens));
  assert.ok(digests.has(answer.version ?? ''), `answered by ${answer.version ?? 'nothing'}`);
  for (const digest of answer.eventDigests) assert.equal(digest, answer.version);
  return true;
}

/** Callers that send requests in a closed loop until they are stopped. */
export interface CallerLoad {
  /** Stops the callers and returns all exchanges. */
  stop(): Promise<readonly Exchange[]>;
}

/** Starts callers at all entries; every second request of each is streamed. */
export function startCallerLoad(system: System, perEntry: number): CallerLoad {
  const exchanges: Exchange[] = [];
  let isStopped = false;
  const call = async (entry: string, caller: number): Promise<void> => {
    for (let number = 0; !isStopped; number += 1) {
      const prompt = `raft ${entry} ${caller} ${number}`;
      const stream = number % 2 === 0;
      exchanges.push(await sendModelRequest(system, entry, prompt, { stream, maximumTokens: 20 }));
    }
  };
  const calls = system
    .machinesWithRole('entry')
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
