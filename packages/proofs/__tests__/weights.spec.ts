import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { System } from '@burdockrail/harness/system.js';
import { withServingSystem } from '@burdockrail/harness/systemOperation.js';
import { waitUntilTrue } from '@burdockrail/harness/waitUntil.js';
import {
  MODEL,
  applyVersion,
  assertOwnWholeOrError,
  awaitEngines,
  modelLayout,
  publishedDigests,
  startCallers,
  versions,
} from './modelSystem.js';

const SIZE = versions[0]?.size ?? 0;

async function chunkBytes(system: System, agent: string): Promise<number> {
  return (await system.engineClient(agent).counts()).chunkBytesReceived;
}

/** Waits until an engine received a share of the version on its way. */
async function awaitShare(system: System, agent: string, share: number): Promise<void> {
  const before = SIZE;
  await waitUntilTrue(async () => (await chunkBytes(system, agent)) - before >= share * SIZE, {
    description: `${share} of a copy at ${agent}`,
    timeoutMilliseconds: 30_000,
  });
}

/** Rolls the second version out under load while a failure is brought about. */
async function rollOutUnder(failure: (system: System) => Promise<void>): Promise<void> {
  await withServingSystem(modelLayout(), async (system) => {
    const digests = await publishedDigests(system);
    const callers = startCallers(system, 2);
    await applyVersion(system, 'two');
    await failure(system);
    await awaitEngines(system, 'two');
    const exchanges = await callers.stop();
    const answered = exchanges.filter((exchange) => assertOwnWholeOrError(exchange, digests));
    assert.ok(answered.length > 0.9 * exchanges.length, `${answered.length}/${exchanges.length}`);
  });
}

describe('weights under failure', () => {
  it('are whole and of one version in every answer while an agent dies mid-transfer', async () => {
    await rollOutUnder(async (system) => {
      const victim = `${MODEL}-sul-lagoa-1`;
      await awaitShare(system, victim, 0.5);
      await system.processes.restart(victim);
      await awaitEngines(system, 'two', [victim]);
      const received = await chunkBytes(system, victim);
      assert.ok(received <= 2.2 * SIZE, `${received / SIZE} copies: it began again from zero`);
    });
  });

  it('are whole in every answer while the origin stalls and sends corrupt chunks', async () => {
    await rollOutUnder(async (system) => {
      await system.origin.faults([
        { kind: 'stall', milliseconds: 1_500, times: 2 },
        { kind: 'corrupt', times: 6 },
      ]);
      await awaitEngines(system, 'two');
    });
  });

  it('are whole in every answer while links between agents change bytes', async () => {
    await rollOutUnder(async (system) => {
      const heal = await system.links.addRule({
        from: { machine: `${MODEL}-sul-lagoa-1` },
        to: { machine: `${MODEL}-sul-lagoa-2` },
        corruptShare: 0.002,
      });
      await awaitEngines(system, 'two');
      await heal();
    });
  });

  it('are loaded again, and nothing else is served, after an engine restarts', async () => {
    await rollOutUnder(async (system) => {
      const victim = `${MODEL}-serra-leste-2`;
      await awaitEngines(system, 'two', [victim]);
      await system.engineClient(victim).crash(300);
    });
  });

  it('stay the old ones in a region that is cut off mid-rollout, and follow after it', async () => {
    await rollOutUnder(async (system) => {
      const far = [`${MODEL}-serra-leste-1`, `${MODEL}-serra-leste-2`];
      await awaitShare(system, far[0] ?? '', 0.2);
      const heal = await system.links.cut({ region: 'sul-lagoa' }, { region: 'serra-leste' });
      await awaitEngines(system, 'two', [`${MODEL}-sul-lagoa-1`, `${MODEL}-sul-lagoa-2`]);
      await heal();
      await awaitEngines(system, 'two', far);
    });
  });

  it('change in flight to a newer version without the one between being served', async () => {
    await withServingSystem(modelLayout(), async (system) => {
      const third = {
        ...versions[1],
        model: MODEL,
        version: 'three',
        size: SIZE,
        chunkSize: 65_536,
      };
      const digest = await system.publishVersion(third);
      await applyVersion(system, 'two');
      await awaitShare(system, `${MODEL}-sul-lagoa-1`, 0.3);
      await applyVersion(system, 'three');
      await awaitEngines(system, 'three');
      const two = await system.fetchManifest(MODEL, 'two');
      for (const { name } of system.agentsOf(MODEL)) {
        const { orders } = await system.engineClient(name).counts();
        assert.equal(orders.at(-1)?.digest, digest);
        assert.ok(!orders.some((order) => order.digest === two.digest), `${name} loaded two`);
      }
    });
  });
});
