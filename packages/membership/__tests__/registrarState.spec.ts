import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Announcement } from '@burdockrail/protocol/protocolMembership.js';
import { createDirectory } from '../src/directoryState.js';
import { createRegistrar } from '../src/registrarState.js';

const lease = 1_500;

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

function createPair() {
  const registrar = createRegistrar({ name: 'entry-1', incarnation: 'r1' });
  const directory = createDirectory();
  const hand = (now: number): void => {
    const known = directory.knownCounter('entry-1', 'r1');
    directory.takeUpdate(registrar.updateSince(known), now);
  };
  const names = (now: number): readonly string[] =>
    directory.upstreamsOf('fogo-llm', now).map((view) => view.announcement.agent);
  return { registrar, directory, hand, names };
}

describe('a registrar and a directory', () => {
  it('forget a silent agent when its lease ends', () => {
    const { registrar, hand, names } = createPair();
    registrar.announce(announcementOf(), 0);
    hand(0);
    assert.deepEqual(names(0), ['agent-1']);
    assert.equal(registrar.tick(lease), false);
    assert.equal(registrar.tick(lease + 1), true);
    hand(lease + 1);
    assert.deepEqual(names(lease + 1), []);
  });

  it('keep an agent that only renews', () => {
    const { registrar, hand, names } = createPair();
    registrar.announce(announcementOf(), 0);
    for (let now = 400; now < 10_000; now += 400) {
      assert.equal(
        registrar.renew({ agent: 'agent-1', incarnation: 'i1', sequence: 1 }, now),
        true,
      );
      registrar.tick(now);
      hand(now);
    }
    assert.deepEqual(names(10_000), ['agent-1']);
  });

  it('stop choosing an agent as soon as it announces that it leaves', () => {
    const { registrar, directory, hand, names } = createPair();
    registrar.announce(announcementOf(), 0);
    hand(0);
    assert.equal(registrar.announce(announcementOf({ sequence: 2, state: 'leaving' }), 1), true);
    hand(1);
    assert.deepEqual(names(1), []);
    assert.equal(directory.upstream('agent-1', 1)?.announcement.state, 'leaving');
  });

  it('ignore an announcement that arrives after a later one', () => {
    const { registrar, hand, names } = createPair();
    registrar.announce(announcementOf({ sequence: 2, state: 'leaving' }), 0);
    registrar.announce(announcementOf({ sequence: 1 }), 1);
    hand(1);
    assert.deepEqual(names(1), []);
  });

  it('give up on a silent registrar unless another one vouches for the agent', () => {
    const { registrar, directory, hand, names } = createPair();
    const other = createRegistrar({ name: 'entry-2', incarnation: 'r2' });
    registrar.announce(announcementOf(), 0);
    other.announce(announcementOf(), 0);
    hand(0);
    const later = lease + 1;
    assert.deepEqual(names(later), []);
    directory.takeUpdate(other.updateSince(0), later);
    assert.deepEqual(names(later), ['agent-1']);
  });

  it('forward a load report that waited for its interval', () => {
    const { registrar, directory, hand } = createPair();
    const load = { running: 0, waiting: 0, capacity: 8, cacheUse: 0 };
    registrar.announce(announcementOf({ load }), 0);
    registrar.announce(announcementOf({ sequence: 2, load: { ...load, running: 8 } }), 10);
    hand(10);
    assert.equal(directory.upstream('agent-1', 10)?.announcement.load?.running, 0);
    registrar.renew({ agent: 'agent-1', incarnation: 'i1', sequence: 2 }, 900);
    registrar.tick(1_010);
    hand(1_010);
    assert.equal(directory.upstream('agent-1', 1_010)?.announcement.load?.running, 8);
  });

  it('carry a changed load without the rest of the announcement', () => {
    const { registrar, directory, hand } = createPair();
    const load = { running: 0, waiting: 0, capacity: 8, cacheUse: 0 };
    registrar.announce(announcementOf({ load, prefixes: ['a'] }), 0);
    hand(0);
    const changed = { load: { ...load, waiting: 4 }, prefixes: ['a', 'b'] };
    registrar.announce(announcementOf({ sequence: 2, ...changed }), 1_500);
    registrar.tick(1_500);
    const update = registrar.updateSince(directory.knownCounter('entry-1', 'r1'));
    assert.deepEqual(update.announcements, []);
    assert.deepEqual(update.loads, [
      { agent: 'agent-1', sequence: 2, load: changed.load, prefixes: ['b'] },
    ]);
    hand(1_500);
    const known = directory.upstream('agent-1', 1_500)?.announcement;
    assert.deepEqual([known?.load?.waiting, known?.prefixes], [4, ['a', 'b']]);
  });

  it('leave the load to the registrar that the agent names', () => {
    const { registrar } = createPair();
    const load = { running: 0, waiting: 0, capacity: 8, cacheUse: 0 };
    const loadRegistrar = 'entry-2';
    registrar.announce(announcementOf({ load, loadRegistrar }), 0);
    const { counter } = registrar;
    const changed = announcementOf({ sequence: 2, loadRegistrar, load: { ...load, running: 8 } });
    registrar.announce(changed, 1_400);
    registrar.tick(1_400);
    assert.equal(registrar.counter, counter);
  });

  it('recover from a lost update by asking for it again', () => {
    const { registrar, directory, names } = createPair();
    registrar.announce(announcementOf(), 0);
    const missed = registrar.counter;
    registrar.announce(announcementOf({ agent: 'agent-2' }), 0);
    assert.equal(directory.takeUpdate(registrar.updateSince(missed), 0), 0);
    directory.takeUpdate(registrar.updateSince(0), 0);
    assert.deepEqual(names(0), ['agent-1', 'agent-2']);
  });
});
