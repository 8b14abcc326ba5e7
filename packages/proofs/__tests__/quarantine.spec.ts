import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { CallerAnswer } from '@burdockrail/harness/callerClient.js';
import type { System } from '@burdockrail/harness/system.js';
import type { SystemLayout } from '@burdockrail/harness/systemLayout.js';
import { waitUntil } from '@burdockrail/harness/waitUntil.js';
import { startServingSystem } from '@burdockrail/harness/systemOperation.js';
import { MODEL, modelLayout, sendModelRequest, waitUntilEnginesLoaded } from './modelSystem.js';

const SERVICE = 'rejestr';
const CRASH_MARKER = 'crashes-each-upstream';
const PREFIX = 'the same first words of many requests, ';

/** Crashes after which the cause must be known. */
const CRASHES_UNTIL_KNOWN = 5;

/** Time limit for a refusal that needs no upstream. */
const IMMEDIATE_ANSWER_MILLISECONDS = 500;

const layout: SystemLayout = {
  dataCentres: [{ name: 'mazowsze', region: 'mazowsze' }],
  controls: { mazowsze: 1 },
  entries: { mazowsze: 4 },
  services: [
    {
      name: SERVICE,
      kind: 'plain',
      home: 'mazowsze',
      upstreams: { mazowsze: 5 },
      routes: [{ method: 'POST', path: '/notes', repeatable: true }],
    },
  ],
  teams: [{ name: 'clerks' }, { name: 'grinders' }],
  versions: [],
};

async function send(system: System, entry: string, body: string, team = 'clerks') {
  return system.callers.callService({
    entry: system.entryUrl(entry),
    service: SERVICE,
    team,
    path: '/notes',
    body,
    timeoutMilliseconds: 8_000,
  });
}

async function totalCrashes(system: System): Promise<number> {
  const counts = await Promise.all(
    system.agentsOf(SERVICE).map(async ({ name }) =>
      // A crashed service refuses connections for a short time.
      waitUntil(async () => system.plainServiceClient(name).counts(), {
        description: `counts of ${name}`,
      }),
    ),
  );
  return counts.reduce((sum, { crashes }) => sum + crashes, 0);
}

describe('a request that crashes every upstream it reaches', () => {
  it('crashes at most two upstreams over all entries and is then refused; other requests run', async () => {
    await using system = await startServingSystem(layout);
    for (const { name } of system.agentsOf(SERVICE)) {
      await system.plainServiceClient(name).faults([{ kind: 'crash', marker: CRASH_MARKER }]);
    }
    const entries = system.machinesWithRole('entry').map(({ name }) => name);
    const crashingBody = `${PREFIX}${CRASH_MARKER}`;
    const otherAnswers: CallerAnswer[] = [];
    for (let round = 0; round < 8; round += 1) {
      const [first = ''] = entries;
      const senders = round === 0 ? [first] : entries;
      await Promise.all(
        senders.map(async (entry) => send(system, entry, crashingBody, 'grinders')),
      );
      otherAnswers.push(await send(system, entries[round % 4] ?? first, `${PREFIX}${round}`));
    }
    const crashed = await totalCrashes(system);
    assert.ok(crashed <= 2, `${crashed} upstreams crashed`);
    for (const entry of entries) {
      const answer = await send(system, entry, crashingBody);
      assert.equal(answer.code, ResultCode.Quarantined);
      assert.equal(answer.run, 'not-run');
      assert.ok((answer.retryAfterSeconds ?? 0) > 0);
      assert.ok(answer.totalMilliseconds < IMMEDIATE_ANSWER_MILLISECONDS);
    }
    assert.deepEqual(
      otherAnswers.map(({ code }) => code),
      otherAnswers.map(() => ResultCode.Ok),
    );
  });
});

describe('prompts that share a prefix which crashes every engine', () => {
  const commonText = 'what all prompts begin with, '.repeat(20);
  const crashingText = `${CRASH_MARKER} ${'in a part that some prompts share, '.repeat(20)}`;
  const ownText = (number: number): string => `the rest of prompt ${number}, `.repeat(20);

  it('are refused at all entries although no two are alike; the other prompts are answered', async () => {
    await using system = await startServingSystem(
      modelLayout({ entries: { 'sul-lagoa': 2, 'serra-leste': 2 } }),
    );
    const entries = system.machinesWithRole('entry').map(({ name }) => name);
    const engines = system.agentsOf(MODEL).map(({ name }) => name);
    const ask = async (number: number, text: string): Promise<CallerAnswer> => {
      const entry = entries[number % entries.length] ?? '';
      const options = { stream: true, maximumTokens: 8, timeoutMilliseconds: 10_000 };
      const { answer } = await sendModelRequest(
        system,
        entry,
        `${text}${ownText(number)}`,
        options,
      );
      assert.ok(answer !== null, 'no answer');
      return answer;
    };
    for (let number = 0; number < 8; number += 1)
      assert.equal((await ask(number, commonText)).code, ResultCode.Ok);
    for (const engine of engines)
      await system.engineClient(engine).faults([{ kind: 'crash', marker: CRASH_MARKER }]);
    const crashingAnswers: CallerAnswer[] = [];
    for (let number = 100; number < 116; number += 1)
      crashingAnswers.push(await ask(number, commonText + crashingText));
    const counts = await Promise.all(
      engines.map(async (name) =>
        waitUntil(async () => system.engineClient(name).counts(), {
          description: `counts of ${name}`,
        }),
      ),
    );
    const crashes = counts.reduce((sum, engine) => sum + engine.crashes, 0);
    assert.ok(crashes > 0 && crashes <= CRASHES_UNTIL_KNOWN, `${crashes} engines crashed`);
    for (const answer of crashingAnswers.slice(-4)) {
      assert.equal(answer.code, ResultCode.Quarantined);
      assert.equal(answer.run, 'not-run');
    }
    await waitUntilEnginesLoaded(system, 'one');
    for (let number = 200; number < 208; number += 1)
      assert.equal((await ask(number, commonText)).code, ResultCode.Ok);
  });
});
