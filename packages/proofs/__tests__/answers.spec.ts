import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { System } from '@burdockrail/harness/system.js';
import { startServingSystem } from '@burdockrail/harness/systemOperation.js';
import type { EngineFault } from '@burdockrail/standins/engineFaults.js';
import {
  MODEL,
  sendModelRequest,
  assertCorrectAnswerOrError,
  modelLayout,
  publishedDigests,
  type Exchange,
} from './modelSystem.js';

const REQUESTS = 24;

async function setFaults(system: System, faults: readonly EngineFault[]): Promise<void> {
  const agents = system.agentsOf(MODEL).map(({ name }) => name);
  await Promise.all(agents.map(async (name) => system.engineClient(name).faults(faults)));
}

async function sendModelRequests(system: System, stream: boolean): Promise<readonly Exchange[]> {
  const entries = system.machinesWithRole('entry').map(({ name }) => name);
  return Promise.all(
    Array.from({ length: REQUESTS }, async (_request, number) => {
      const entry = entries[number % entries.length] ?? '';
      const prompt = `log ${number} ${stream ? 'streamed' : 'whole'}`;
      return sendModelRequest(system, entry, prompt, {
        stream,
        maximumTokens: 16,
        timeoutMilliseconds: 15_000,
      });
    }),
  );
}

/** Engine faults by test name; each is tested alone, with and without streaming. */
const faultsByName: Readonly<Record<string, readonly EngineFault[]>> = {
  late: [{ kind: 'late', milliseconds: 400, share: 0.5 }],
  crossed: [{ kind: 'crossed', share: 0.4 }],
  'cut off': [{ kind: 'cut', afterTokens: 5, share: 0.3 }],
  'sent twice': [{ kind: 'twice', share: 0.5 }],
  'failing with errors': [{ kind: 'error', share: 0.3 }],
};

describe('answers of faulty engines', () => {
  let system: System;
  it('start with a serving system', async () => {
    system = await startServingSystem(modelLayout());
  });
  for (const [name, engineFaults] of Object.entries(faultsByName)) {
    for (const stream of [false, true]) {
      it(`are complete and belong to the request, or are an error, when ${name}${stream ? ', streamed' : ''}`, async () => {
        const digests = await publishedDigests(system);
        await setFaults(system, engineFaults);
        const exchanges = await sendModelRequests(system, stream);
        await setFaults(system, []);
        const answered = exchanges.filter((exchange) =>
          assertCorrectAnswerOrError(exchange, digests),
        ).length;
        assert.ok(answered >= REQUESTS / 2, `${answered} of ${REQUESTS} requests were answered`);
      });
    }
  }
  it('are resumed with the same weights after streams were cut off', async () => {
    const digests = await publishedDigests(system);
    await setFaults(system, [{ kind: 'cut', afterTokens: 7 }]);
    const exchanges = await sendModelRequests(system, true);
    await setFaults(system, []);
    for (const exchange of exchanges) assert.ok(assertCorrectAnswerOrError(exchange, digests));
    const counts = await Promise.all(
      system.agentsOf(MODEL).map(async ({ name }) => system.engineClient(name).counts()),
    );
    const resumed = counts.reduce((sum, { resumed: count }) => sum + count, 0);
    assert.ok(resumed >= REQUESTS, `${resumed} streams were resumed`);
    await system[Symbol.asyncDispose]();
  });
});
