import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { System } from '@burdockrail/harness/system.js';
import { withServingSystem } from '@burdockrail/harness/systemOperation.js';
import { waitUntilTrue } from '@burdockrail/harness/waitUntil.js';
import {
  MODEL,
  applyVersion,
  assertCorrectAnswerOrError,
  waitUntilEnginesLoaded,
  modelLayout,
  publishedDigests,
  startCallerLoad,
  versions,
} from './modelSystem.js';

const VERSION_BYTES = versions[0]?.size ?? 0;

async function receivedChunkBytes(system: System, agent: string): Promise<number> {
  return (await system.engineClient(agent).counts()).chunkBytesReceived;
}

/** Waits until an engine has received a share of the version being rolled out. */
async function waitUntilShareReceived(system: System, agent: string, share: number): Promise<void> {
  // The engine has already received one copy: the first version.
  const oldVersionBytes = VERSION_BYTES;
  await waitUntilTrue(
    async () =>
      (await receivedChunkBytes(system, agent)) - oldVersionBytes >= share * VERSION_BYTES,
    {
      description: `${share} of a copy at ${agent}`,
      timeoutMilliseconds: 30_000,
    },
  );
}

/** Rolls the second version out under load while `failure` is injected. */
async function rollOutDuringFailure(failure: (system: System) => Promise<void>): Promise<void> {
  await withServingSystem(modelLayout(), async (system) => {
    const digests = await publishedDigests(system);
    const callers = startCallerLoad(system, 2);
    await applyVersion(system, 'two');
    await failure(system);
    await waitUntilEnginesLoaded(system, 'two');
    const exchanges = await callers.stop();
    const answered = exchanges.filter((exchange) => assertCorrectAnswerOrError(exchange, digests));
    assert.ok(answered.length > 0.9 * exchanges.length, `${answered.length}/${exchanges.length}`);
  });
}

describe('weights under failure', () => {
  it('are complete and of one version in every answer while an agent is killed in its transfer', async () => {
    await rollOutDuringFailure(async (system) => {
      const restartedAgent = `${MODEL}-sul-lagoa-1`;
      await waitUntilShareReceived(system, restartedAgent, 0.5);
      await system.processes.restart(restartedAgent);
      await waitUntilEnginesLoaded(system, 'two', [restartedAgent]);
      const received = await receivedChunkBytes(system, restartedAgent);
      assert.ok(
        received <= 2.2 * VERSION_BYTES,
        `${received / VERSION_BYTES} copies: the transfer started again from zero`,
      );
    });
  });

  it('are complete and uncorrupted in every answer while the origin stalls and sends corrupt chunks', async () => {
    await rollOutDuringFailure(async (system) => {
      await system.origin.faults([
        { kind: 'stall', milliseconds: 1_500, times: 2 },
        { kind: 'corrupt', times: 6 },
      ]);
      await waitUntilEnginesLoaded(system, 'two');
    });
  });

  it('are complete and uncorrupted in every answer while a link between agents corrupts bytes', async () => {
    await rollOutDuringFailure(async (system) => {
      const heal = await system.links.addRule({
        from: { machine: `${MODEL}-sul-lagoa-1` },
        to: { machine: `${MODEL}-sul-lagoa-2` },
        corruptShare: 0.002,
      });
      await waitUntilEnginesLoaded(system, 'two');
      await heal();
    });
  });

  it('are loaded again after an engine restarts, and nothing else is served meanwhile', async () => {
    await rollOutDuringFailure(async (system) => {
      const restartedAgent = `${MODEL}-serra-leste-2`;
      await waitUntilEnginesLoaded(system, 'two', [restartedAgent]);
      await system.engineClient(restartedAgent).crash(300);
    });
  });

  it('stay at the old version in a region partitioned during a rollout, and catch up afterwards', async () => {
    await rollOutDuringFailure(async (system) => {
      const remoteAgents = [`${MODEL}-serra-leste-1`, `${MODEL}-serra-leste-2`];
      await waitUntilShareReceived(system, remoteAgents[0] ?? '', 0.2);
      const heal = await system.links.cut({ region: 'sul-lagoa' }, { region: 'serra-leste' });
      await waitUntilEnginesLoaded(system, 'two', [`${MODEL}-sul-lagoa-1`, `${MODEL}-sul-lagoa-2`]);
      await heal();
      await waitUntilEnginesLoaded(system, 'two', remoteAgents);
    });
  });

  it('skip a superseded version when a newer one is applied during its rollout', async () => {
    await withServingSystem(modelLayout(), async (system) => {
      const thirdVersion = {
        ...versions[1],
        model: MODEL,
        version: 'three',
        size: VERSION_BYTES,
        chunkSize: 65_536,
      };
      const digest = await system.publishVersion(thirdVersion);
      await applyVersion(system, 'two');
      await waitUntilShareReceived(system, `${MODEL}-sul-lagoa-1`, 0.3);
      await applyVersion(system, 'three');
      await waitUntilEnginesLoaded(system, 'three');
      const secondVersion = await system.fetchManifest(MODEL, 'two');
      for (const { name } of system.agentsOf(MODEL)) {
        const { orders } = await system.engineClient(name).counts();
        assert.equal(orders.at(-1)?.digest, digest);
        assert.ok(
          !orders.some((order) => order.digest === secondVersion.digest),
          `${name} loaded two`,
        );
      }
    });
  });
});
