import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { monotonicClock } from '@burdockrail/common/timeSource.js';
import type { System } from '@burdockrail/harness/system.js';
import { withServingSystem } from '@burdockrail/harness/systemOperation.js';
import { waitUntilTrue } from '@burdockrail/harness/waitUntil.js';
import {
  MODEL,
  sendModelRequest,
  assertCorrectAnswerOrError,
  modelLayout,
  publishedDigests,
  startCallerLoad,
} from './modelSystem.js';

/** Time after which a departing or unresponsive upstream must get no new requests. */
const NO_NEW_REQUESTS_AFTER_MILLISECONDS = 3_000;

const STREAMS = 6;

const DEPARTING_AGENT = `${MODEL}-sul-lagoa-1`;

async function runsOfEngine(system: System, agent: string): Promise<number> {
  return (await system.engineClient(agent).counts()).runs;
}

/** Asserts that an agent gets no requests after the time limit while another still does. */
async function assertNoNewRequests(system: System, agent: string, since: number): Promise<void> {
  await waitUntilTrue(() => monotonicClock.now() - since >= NO_NEW_REQUESTS_AFTER_MILLISECONDS, {
    description: 'the time limit for new requests',
  });
  const runs = await runsOfEngine(system, agent);
  const otherAgent = `${MODEL}-sul-lagoa-2`;
  const initialRuns = await runsOfEngine(system, otherAgent);
  await waitUntilTrue(async () => (await runsOfEngine(system, otherAgent)) >= initialRuns + 20, {
    description: 'requests at the other upstream',
  });
  assert.equal(await runsOfEngine(system, agent), runs);
}

describe('an upstream that departs', () => {
  it('gets no new requests after 3 s although its announcement was lost', async () => {
    await withServingSystem(modelLayout(), async (system) => {
      const callers = startCallerLoad(system, 3);
      const heal = await system.links.addRule({
        from: { machine: DEPARTING_AGENT },
        to: {},
        cut: true,
      });
      const since = monotonicClock.now();
      system.processes.process(DEPARTING_AGENT).signal('SIGTERM');
      await assertNoNewRequests(system, DEPARTING_AGENT, since);
      await heal();
      const digests = await publishedDigests(system);
      for (const exchange of await callers.stop()) assertCorrectAnswerOrError(exchange, digests);
    });
  });

  it('gets no new requests after 3 s when it stops responding', async () => {
    await withServingSystem(modelLayout(), async (system) => {
      const callers = startCallerLoad(system, 3);
      const since = monotonicClock.now();
      system.processes.pause(DEPARTING_AGENT);
      await assertNoNewRequests(system, DEPARTING_AGENT, since);
      system.processes.resume(DEPARTING_AGENT);
      const digests = await publishedDigests(system);
      for (const exchange of await callers.stop()) assertCorrectAnswerOrError(exchange, digests);
    });
  });

  it('completes the requests in progress when its agent shuts down under load', async () => {
    await withServingSystem(modelLayout(), async (system) => {
      const digests = await publishedDigests(system);
      const callers = startCallerLoad(system, 3);
      await waitUntilTrue(async () => (await runsOfEngine(system, DEPARTING_AGENT)) > 5, {
        description: 'load',
      });
      assert.equal(await system.processes.stop(DEPARTING_AGENT), 0);
      const exchanges = await callers.stop();
      const failed = exchanges.filter((exchange) => !assertCorrectAnswerOrError(exchange, digests));
      assert.deepEqual(
        failed.map(({ answer }) => answer?.code),
        [],
      );
    });
  });

  it('completes the requests in progress of an entry that shuts down', async () => {
    await withServingSystem(modelLayout(), async (system) => {
      const digests = await publishedDigests(system);
      const streams = Array.from({ length: STREAMS }, async (_stream, number) =>
        sendModelRequest(system, 'entry-sul-lagoa-2', `pier ${number}`, {
          stream: true,
          maximumTokens: 200,
        }),
      );
      const running = async (): Promise<number> => {
        const agents = system.agentsOf(MODEL);
        const counts = await Promise.all(
          agents.map(async ({ name }) => runsOfEngine(system, name)),
        );
        return counts.reduce((sum, count) => sum + count, 0);
      };
      await waitUntilTrue(async () => (await running()) >= STREAMS, { description: 'streams' });
      assert.equal(await system.processes.stop('entry-sul-lagoa-2'), 0);
      for (const stream of streams) assert.ok(assertCorrectAnswerOrError(await stream, digests));
    });
  });
});
