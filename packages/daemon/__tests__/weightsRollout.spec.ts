import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import type { WeightVersion } from '@burdockrail/standins/weightContent.js';
import { awaitServing, postControl, createFleet, waitUntil } from './weightsFleet.js';

const VERSION_BYTES = 1024 * 1024;
const CHUNK_BYTES = 8 * 1024;
const versionOne: WeightVersion = {
  model: 'fogo',
  version: 'one',
  size: VERSION_BYTES,
  chunkSize: CHUNK_BYTES,
};
const versionTwo: WeightVersion = {
  ...versionOne,
  version: 'two',
  sharedWith: { version: 'one', share: 0.9 },
};

describe('weights rollout', () => {
  it('reads one copy from the origin for all agents of three data centres', async () => {
    await using disposables = createDisposalStack();
    const fleet = await createFleet(disposables, {
      versions: [versionOne],
      dataCentreCount: 3,
      agentsPerDataCentre: 3,
    });
    fleet.applyVersion('one');
    await awaitServing(fleet, 'one');
    assert.equal(await fleet.originBytes('one'), VERSION_BYTES);
  });

  it('reads only the chunks that a new version does not share with the old', async () => {
    await using disposables = createDisposalStack();
    const versions = [versionOne, versionTwo];
    const fleet = await createFleet(disposables, {
      versions,
      dataCentreCount: 2,
      agentsPerDataCentre: 2,
    });
    fleet.applyVersion('one');
    await awaitServing(fleet, 'one');
    fleet.applyVersion('two');
    await awaitServing(fleet, 'two');
    assert.ok((await fleet.originBytes('two')) <= 0.11 * VERSION_BYTES);
  });

  it('rejects corrupt chunks from the origin and continues', async () => {
    await using disposables = createDisposalStack();
    const fleet = await createFleet(disposables, {
      versions: [versionOne],
      dataCentreCount: 1,
      agentsPerDataCentre: 2,
    });
    await postControl(fleet.originUrl, 'faults', [{ kind: 'corrupt', times: 2 }]);
    fleet.applyVersion('one');
    await awaitServing(fleet, 'one');
    assert.ok((await fleet.originBytes('one')) <= VERSION_BYTES + 2 * CHUNK_BYTES);
  });

  it('continues without an agent that crashes during the rollout', async () => {
    await using disposables = createDisposalStack();
    const fleet = await createFleet(disposables, {
      versions: [versionOne],
      dataCentreCount: 2,
      agentsPerDataCentre: 3,
      weightBytesPerSecond: VERSION_BYTES,
    });
    const [crashedAgent, ...others] = fleet.agents;
    assert.ok(crashedAgent);
    fleet.applyVersion('one');
    await waitUntil('the rollout is half done', () => {
      const rollout = crashedAgent.upstream.announcement.rollout;
      return rollout !== undefined && rollout.heldChunks * 2 > rollout.chunks;
    });
    await fleet.removeAgent(crashedAgent);
    await awaitServing(fleet, 'one', others);
    assert.ok((await fleet.originBytes('one')) <= 1.25 * VERSION_BYTES);
  });

  it('switches to a newer version during a rollout and abandons the older one', async () => {
    await using disposables = createDisposalStack();
    const fleet = await createFleet(disposables, {
      versions: [versionOne, versionTwo],
      dataCentreCount: 2,
      agentsPerDataCentre: 2,
      weightBytesPerSecond: VERSION_BYTES,
    });
    fleet.applyVersion('one');
    await waitUntil('the rollout is half done', () =>
      fleet.agents.every(({ upstream }) => {
        const rollout = upstream.announcement.rollout;
        return rollout !== undefined && rollout.heldChunks * 2 > rollout.chunks;
      }),
    );
    fleet.applyVersion('two');
    await awaitServing(fleet, 'two');
    const originBytes = (await fleet.originBytes('one')) + (await fleet.originBytes('two'));
    assert.ok(
      originBytes <= 1.15 * VERSION_BYTES,
      `${originBytes} bytes were read from the origin`,
    );
  });

  it('restores the weights of an engine that has lost them', async () => {
    await using disposables = createDisposalStack();
    const fleet = await createFleet(disposables, {
      versions: [versionOne],
      dataCentreCount: 1,
      agentsPerDataCentre: 2,
    });
    const [agent] = fleet.agents;
    assert.ok(agent);
    fleet.applyVersion('one');
    await awaitServing(fleet, 'one');
    await postControl(agent.engineUrl, 'crash', { downMilliseconds: 300 });
    await waitUntil('the loss is noticed', () => agent.upstream.announcement.serving === undefined);
    await awaitServing(fleet, 'one');
    assert.equal(await fleet.originBytes('one'), VERSION_BYTES);
  });

  it('loads adapters after the weights that they belong to', async () => {
    await using disposables = createDisposalStack();
    const adapter: WeightVersion = { ...versionOne, model: 'nib', size: 4 * CHUNK_BYTES };
    const versions = [versionOne, adapter];
    const fleet = await createFleet(disposables, {
      versions,
      dataCentreCount: 1,
      agentsPerDataCentre: 2,
    });
    fleet.applyVersion('one', ['nib']);
    await awaitServing(fleet, 'one');
    await waitUntil('the adapter is live', () =>
      fleet.agents.every(
        ({ upstream }) => upstream.announcement.serving?.adapters.join(',') === 'nib',
      ),
    );
    for (const { engineUrl } of fleet.agents) {
      const response = await fetch(`${engineUrl}/load`);
      const load = (await response.json()) as { readonly adapters: readonly string[] };
      assert.deepEqual(load.adapters, ['nib']);
    }
  });
});
