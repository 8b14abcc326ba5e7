import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { monotonicClock } from '@burdockrail/common/timeSource.js';
import type { System } from '@burdockrail/harness/system.js';
import { withServingSystem } from '@burdockrail/harness/systemOperation.js';
import { waitUntilTrue } from '@burdockrail/harness/waitUntil.js';
import {
  MODEL,
  ask,
  assertOwnWholeOrError,
  modelLayout,
  publishedDigests,
  startCallers,
} from './modelSystem.js';

/** Time after which a leaving or silent upstream gets no new work, in milliseconds. */
const NO_NEW_WORK_MILLISECONDS = 3_000;

const STREAMS = 6;

const LEAVER = `${MODEL}-sul-lagoa-1`;

async function runsAt(system: System, agent: string): Promise<number> {
  return (await system.engineClient(agent).counts()).runs;
}

/** Asserts that no request arrives from the bound on, while others still do. */
async function assertNoNewWork(system: System, agent: string, since: number): Promise<void> {
  await waitUntilTrue(() => monotonicClock.now() - since >= NO_NEW_WORK_MILLISECONDS, {
    description: 'the bound on new work',
  });
  const runs = await runsAt(system, agent);
  const other = `${MODEL}-sul-lagoa-2`;
  const runsElsewhere = await runsAt(system, other);
  await waitUntilTrue(async () => (await runsAt(system, other)) >= runsElsewhere + 20, {
    description: 'requests at the other upstream',
  });
  assert.equal(await runsAt(system, agent), runs);
}

describe('an upstream that goes', () => {
  it('gets no new work after 3 s although its announcement was lost', async () => {
    await withServingSystem(modelLayout(), async (system) => {
      const callers = startCallers(system, 3);
      const heal = await system.links.addRule({ from: { machine: LEAVER }, to: {}, cut: true });
      const since = monotonicClock.now();
      system.processes.process(LEAVER).signal('SIGTERM');
      await assertNoNewWork(system, LEAVER, since);
      await heal();
      const digests = await publishedDigests(system);
      for (const exchange of await callers.stop()) assertOwnWholeOrError(exchange, digests);
    });
  });

  it('gets no new work after 3 s when it falls silent', async () => {
    await withServingSystem(modelLayout(), async (system) => {
      const callers = startCallers(system, 3);
      const since = monotonicClock.now();
      system.processes.pause(LEAVER);
      await assertNoNewWork(system, LEAVER, since);
      system.processes.resume(LEAVER);
      const digests = await publishedDigests(system);
      for (const exchange of await callers.stop()) assertOwnWholeOrError(exchange, digests);
    });
  });

  it('cuts off nothing in progress when its agent shuts down under load', async () => {
    await withServingSystem(modelLayout(), async (system) => {
      const digests = await publishedDigests(system);
      const callers = startCallers(system, 3);
      await waitUntilTrue(async () => (await runsAt(system, LEAVER)) > 5, { description: 'load' });
      assert.equal(await system.processes.stop(LEAVER), 0);
      const exchanges = await callers.stop();
      const failed = exchanges.filter((exchange) => !assertOwnWholeOrError(exchange, digests));
      assert.deepEqual(
        failed.map(({ answer }) => answer?.code),
        [],
      );
    });
  });

  it('cuts off nothing in progress when an entry shuts down', async () => {
    await withServingSystem(modelLayout(), async (system) => {
      const digests = await publishedDigests(system);
      const streams = Array.from({ length: STREAMS }, async (_stream, number) =>
        ask(system, 'entry-sul-lagoa-2', `pier ${number}`, { stream: true, maximumTokens: 200 }),
      );
      const running = async (): Promise<number> => {
        const agents = system.agentsOf(MODEL);
        const counts = await Promise.all(agents.map(async ({ name }) => runsAt(system, name)));
        return counts.reduce((sum, count) => sum + count, 0);
      };
      await waitUntilTrue(async () => (await running()) >= STREAMS, { description: 'streams' });
      assert.equal(await system.processes.stop('entry-sul-lagoa-2'), 0);
      for (const stream of streams) assert.ok(assertOwnWholeOrError(await stream, digests));
    });
  });
});
