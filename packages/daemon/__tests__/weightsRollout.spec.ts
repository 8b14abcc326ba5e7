import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import type { WeightVersion } from '@burdockrail/standins/weightContent.js';
import { awaitLive, control, createFleet, until } from './weightsFleet.js';

const SIZE = 1024 * 1024;
const CHUNK = 8 * 1024;
const one: WeightVersion = { model: 'fogo', version: 'one', size: SIZE, chunkSize: CHUNK };
const two: WeightVersion = { ...one, version: 'two', sharedWith: { version: 'one', share: 0.9 } };

describe('a rollout of weights', () => {
  it('reads one copy from the origin for all agents of three data centres', async () => {
    await using owned = createDisposalStack();
    const fleet = await createFleet(owned, { versions: [one], dataCentres: 3, perDataCentre: 3 });
    fleet.apply('one');
    await awaitLive(fleet, 'one');
    assert.equal(await fleet.originBytes('one'), SIZE);
  });

  it('reads only the chunks that a new version does not share with the old', async () => {
    await using owned = createDisposalStack();
    const versions = [one, two];
    const fleet = await createFleet(owned, { versions, dataCentres: 2, perDataCentre: 2 });
    fleet.apply('one');
    await awaitLive(fleet, 'one');
    fleet.apply('two');
    await awaitLive(fleet, 'two');
    assert.ok((await fleet.originBytes('two')) <= 0.11 * SIZE);
  });

  it('drops corrupt chunks of the origin and goes on', async () => {
    await using owned = createDisposalStack();
    const fleet = await createFleet(owned, { versions: [one], dataCentres: 1, perDataCentre: 2 });
    await control(fleet.originUrl, 'faults', [{ kind: 'corrupt', times: 2 }]);
    fleet.apply('one');
    await awaitLive(fleet, 'one');
    assert.ok((await fleet.originBytes('one')) <= SIZE + 2 * CHUNK);
  });

  it('goes on without an agent that dies in the middle', async () => {
    await using owned = createDisposalStack();
    const fleet = await createFleet(owned, {
      versions: [one],
      dataCentres: 2,
      perDataCentre: 3,
      weightBytesPerSecond: SIZE,
    });
    const [victim, ...others] = fleet.agents;
    assert.ok(victim);
    fleet.apply('one');
    await until('the rollout is half way', () => {
      const rollout = victim.upstream.presence.rollout;
      return rollout !== undefined && rollout.heldChunks * 2 > rollout.chunks;
    });
    await fleet.leave(victim);
    await awaitLive(fleet, 'one', others);
    assert.ok((await fleet.originBytes('one')) <= 1.25 * SIZE);
  });

  it('changes to a newer version in flight and never serves the one that was left', async () => {
    await using owned = createDisposalStack();
    const fleet = await createFleet(owned, {
      versions: [one, two],
      dataCentres: 2,
      perDataCentre: 2,
      weightBytesPerSecond: SIZE,
    });
    fleet.apply('one');
    await until('the rollout is half way', () =>
      fleet.agents.every(({ upstream }) => {
        const rollout = upstream.presence.rollout;
        return rollout !== undefined && rollout.heldChunks * 2 > rollout.chunks;
      }),
    );
    fleet.apply('two');
    await awaitLive(fleet, 'two');
    const read = (await fleet.originBytes('one')) + (await fleet.originBytes('two'));
    assert.ok(read <= 1.15 * SIZE, `${read} bytes were read`);
  });

  it('brings an engine back that lost its weights', async () => {
    await using owned = createDisposalStack();
    const fleet = await createFleet(owned, { versions: [one], dataCentres: 1, perDataCentre: 2 });
    const [agent] = fleet.agents;
    assert.ok(agent);
    fleet.apply('one');
    await awaitLive(fleet, 'one');
    await control(agent.engineUrl, 'crash', { downMilliseconds: 300 });
    await until('the loss is noticed', () => agent.upstream.presence.serving === undefined);
    await awaitLive(fleet, 'one');
    assert.equal(await fleet.originBytes('one'), SIZE);
  });

  it('loads adapters after the weights that they belong to', async () => {
    await using owned = createDisposalStack();
    const adapter: WeightVersion = { ...one, model: 'nib', size: 4 * CHUNK };
    const versions = [one, adapter];
    const fleet = await createFleet(owned, { versions, dataCentres: 1, perDataCentre: 2 });
    fleet.apply('one', ['nib']);
    await awaitLive(fleet, 'one');
    await until('the adapter is live', () =>
      fleet.agents.every(({ upstream }) => upstream.presence.serving?.adapters.join(',') === 'nib'),
    );
    for (const { engineUrl } of fleet.agents) {
      const response = await fetch(`${engineUrl}/load`);
      const load = (await response.json()) as { readonly adapters: readonly string[] };
      assert.deepEqual(load.adapters, ['nib']);
    }
  });
});
