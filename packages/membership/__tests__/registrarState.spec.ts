import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';
import { createDirectory } from '../src/directoryState.js';
import { createRegistrar } from '../src/registrarState.js';

const LEASE_MILLISECONDS = 1_500;

function announcementOf(change: Partial<Announcement> = {}): Announcement {
  return {
    agent: 'agent-1',
    incarnation: 'i1',
    sequence: 1,
    dataCentre: 'sul-lagoa',
    region: 'sul',
    address: { host: '127.0.0.1', port: 1 },
    service: 'fogo-llm',
    state: 'present',
    ready: true,
    prefixes: [],
    ...change,
  };
}

function createRegistrarAndDirectory() {
  const registrar = createRegistrar({ name: 'entry-1', incarnation: 'r1' });
  const directory = createDirectory();
  const syncDirectory = (now: number): void => {
    const known = directory.knownCounter('entry-1', 'r1');
    directory.applyUpdate(registrar.updateSince(known), now);
  };
  const upstreamNames = (now: number): readonly string[] =>
    directory.upstreamsOf('fogo-llm', now).map((view) => view.announcement.agent);
  return { registrar, directory, syncDirectory, upstreamNames };
}

describe('a registrar and a directory', () => {
  it('remove an agent when its lease expires', () => {
    const { registrar, syncDirectory, upstreamNames } = createRegistrarAndDirectory();
    registrar.announce(announcementOf(), 0);
    syncDirectory(0);
    assert.deepEqual(upstreamNames(0), ['agent-1']);
    assert.equal(registrar.tick(LEASE_MILLISECONDS), false);
    assert.equal(registrar.tick(LEASE_MILLISECONDS + 1), true);
    syncDirectory(LEASE_MILLISECONDS + 1);
    assert.deepEqual(upstreamNames(LEASE_MILLISECONDS + 1), []);
  });

  it('keep an agent that only renews its lease', () => {
    const { registrar, syncDirectory, upstreamNames } = createRegistrarAndDirectory();
    registrar.announce(announcementOf(), 0);
    for (let now = 400; now < 10_000; now += 400) {
      assert.equal(
        registrar.renew({ agent: 'agent-1', incarnation: 'i1', sequence: 1 }, now),
        true,
      );
      registrar.tick(now);
      syncDirectory(now);
    }
    assert.deepEqual(upstreamNames(10_000), ['agent-1']);
  });

  it('no longer list an agent that announced its departure', () => {
    const { registrar, directory, syncDirectory, upstreamNames } = createRegistrarAndDirectory();
    registrar.announce(announcementOf(), 0);
    syncDirectory(0);
    assert.equal(registrar.announce(announcementOf({ sequence: 2, state: 'leaving' }), 1), true);
    syncDirectory(1);
    assert.deepEqual(upstreamNames(1), []);
    assert.equal(directory.upstream('agent-1', 1)?.announcement.state, 'leaving');
  });

  it('ignore an announcement that arrives out of order', () => {
    const { registrar, syncDirectory, upstreamNames } = createRegistrarAndDirectory();
    registrar.announce(announcementOf({ sequence: 2, state: 'leaving' }), 0);
    registrar.announce(announcementOf({ sequence: 1 }), 1);
    syncDirectory(1);
    assert.deepEqual(upstreamNames(1), []);
  });

  it('drop the agents of a silent registrar unless another registrar lists them', () => {
    const { registrar, directory, syncDirectory, upstreamNames } = createRegistrarAndDirectory();
    const otherRegistrar = createRegistrar({ name: 'entry-2', incarnation: 'r2' });
    registrar.announce(announcementOf(), 0);
    otherRegistrar.announce(announcementOf(), 0);
    syncDirectory(0);
    const afterLease = LEASE_MILLISECONDS + 1;
    assert.deepEqual(upstreamNames(afterLease), []);
    directory.applyUpdate(otherRegistrar.updateSince(0), afterLease);
    assert.deepEqual(upstreamNames(afterLease), ['agent-1']);
  });

  it('forward a load report that waited for its interval', () => {
    const { registrar, directory, syncDirectory } = createRegistrarAndDirectory();
    const load = { running: 0, waiting: 0, capacity: 8, cacheUse: 0 };
    registrar.announce(announcementOf({ load }), 0);
    registrar.announce(announcementOf({ sequence: 2, load: { ...load, running: 8 } }), 10);
    syncDirectory(10);
    assert.equal(directory.upstream('agent-1', 10)?.announcement.load?.running, 0);
    registrar.renew({ agent: 'agent-1', incarnation: 'i1', sequence: 2 }, 900);
    registrar.tick(1_010);
    syncDirectory(1_010);
    assert.equal(directory.upstream('agent-1', 1_010)?.announcement.load?.running, 8);
  });

  it('carry a changed load without the rest of the announcement', () => {
    const { registrar, directory, syncDirectory } = createRegistrarAndDirectory();
    const load = { running: 0, waiting: 0, capacity: 8, cacheUse: 0 };
    registrar.announce(announcementOf({ load, prefixes: ['a'] }), 0);
    syncDirectory(0);
    const changed = { load: { ...load, waiting: 4 }, prefixes: ['a', 'b'] };
    registrar.announce(announcementOf({ sequence: 2, ...changed }), 1_500);
    registrar.tick(1_500);
    const update = registrar.updateSince(directory.knownCounter('entry-1', 'r1'));
    assert.deepEqual(update.announcements, []);
    assert.deepEqual(update.loads, [
      { agent: 'agent-1', sequence: 2, load: changed.load, prefixes: ['b'] },
    ]);
    syncDirectory(1_500);
    const known = directory.upstream('agent-1', 1_500)?.announcement;
    assert.deepEqual([known?.load?.waiting, known?.prefixes], [4, ['a', 'b']]);
  });

  it('forward the load only by the registrar that the agent names', () => {
    const { registrar } = createRegistrarAndDirectory();
    const load = { running: 0, waiting: 0, capacity: 8, cacheUse: 0 };
    const loadRegistrar = 'entry-2';
    registrar.announce(announcementOf({ load, loadRegistrar }), 0);
    const { counter } = registrar;
    const changed = announcementOf({ sequence: 2, loadRegistrar, load: { ...load, running: 8 } });
    registrar.announce(changed, 1_400);
    registrar.tick(1_400);
    assert.equal(registrar.counter, counter);
  });

  it('recover from a lost update with a full copy', () => {
    const { registrar, directory, upstreamNames } = createRegistrarAndDirectory();
    registrar.announce(announcementOf(), 0);
    const counterBeforeLoss = registrar.counter;
    registrar.announce(announcementOf({ agent: 'agent-2' }), 0);
    assert.equal(directory.applyUpdate(registrar.updateSince(counterBeforeLoss), 0), 0);
    directory.applyUpdate(registrar.updateSince(0), 0);
    assert.deepEqual(upstreamNames(0), ['agent-1', 'agent-2']);
  });
});
