import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { UpstreamDeparture, UpstreamRecord } from '@burdockrail/protocol/protocolDirectory.js';
import fc from 'fast-check';
import { createDirectoryView } from '../src/directoryView.js';
import {
  createUpstreamRegistry,
  MAXIMUM_UNNAMED_UPSTREAMS,
  MAXIMUM_UPSTREAMS,
} from '../src/upstreamRegistry.js';

function record(changes: Partial<UpstreamRecord>): UpstreamRecord {
  return {
    id: 'i-1',
    service: 'till',
    address: '10.0.0.1:80',
    dataCentre: 'north',
    slots: 4,
    state: 'ready',
    startedAt: 100,
    sequence: 1,
    models: [],
    ...changes,
  };
}

function departure(changes: Partial<UpstreamDeparture>): UpstreamDeparture {
  return { id: 'i-1', startedAt: 100, sequence: 1, state: 'gone', ...changes };
}

/** Answer of a control process without records. */
const update = {
  control: 'c1',
  revision: 1,
  complete: true,
  departures: [],
  informedMilliseconds: 100,
  configuration: null,
  weights: [],
  confirmedAgeMilliseconds: 0,
  controls: [],
  entries: 1,
  entryShares: 1,
  entryIndex: 0,
  findingRevision: 0,
  findings: [],
};

describe('the registry of upstreams', () => {
  // A sender of ever new ids used up the processor and memory of all control processes.
  it('takes few upstreams of unnamed services, also beside many of named ones', () => {
    const registry = createUpstreamRegistry();
    const isNamed = (service: string): boolean => service === 'till';
    const announce = (service: string, index: number): boolean =>
      registry.applyRecord(
        record({ id: `${service}-${index}`, service, address: `${service}:${index}` }),
        0,
        isNamed,
      );
    for (let index = 0; index < MAXIMUM_UNNAMED_UPSTREAMS; index += 1)
      assert.ok(announce('nowhere', index));
    assert.equal(announce('nowhere', MAXIMUM_UNNAMED_UPSTREAMS), false);
    for (let index = 0; registry.records.length < MAXIMUM_UPSTREAMS; index += 1)
      announce('till', index);
    assert.equal(announce('till', MAXIMUM_UPSTREAMS), false);
    const again = record({ id: 'till-0', address: 'till:0', sequence: 2 });
    assert.ok(registry.hasRoomFor(again, isNamed));
    assert.ok(registry.applyRecord(again, 0, isNamed));
  });

  it('drops silent upstreams of unnamed services after a time', () => {
    const registry = createUpstreamRegistry();
    const isNamed = (service: string): boolean => service === 'till';
    registry.applyRecord(record({ id: 'odd', service: 'nowhere', address: 'odd:1' }), 0, isNamed);
    registry.applyRecord(record({}), 0, isNamed);
    registry.sweep(1_000, 121_000, isNamed);
    assert.deepEqual(
      registry.records.map(({ record: { id, state } }) => `${id} ${state}`),
      ['odd gone', 'i-1 ready'],
    );
    registry.sweep(1_000, 242_000, isNamed);
    assert.deepEqual(
      registry.records.map(({ record: { id } }) => id),
      ['i-1'],
    );
  });

  it('keeps the newest record for any order of arrival', () => {
    const sequences = fc.uniqueArray(fc.integer({ min: 1, max: 50 }), { minLength: 1 });
    fc.assert(
      fc.property(sequences, (arrivalOrder) => {
        const registry = createUpstreamRegistry();
        for (const sequence of arrivalOrder)
          registry.applyRecord(record({ sequence, slots: sequence }), 0);
        assert.equal(registry.records[0]?.record.slots, Math.max(...arrivalOrder));
      }),
    );
  });

  it('leaves an address to its holder when a copy of its heartbeat comes under another id', () => {
    const registry = createUpstreamRegistry();
    registry.applyRecord(record({}), 0);
    const copy = record({ id: 'copy', service: 'nowhere', sequence: 2 });
    assert.equal(registry.applyRecord(copy, 10), false);
    assert.equal(registry.applyRecord(record({ sequence: 2 }), 20), true);
    assert.deepEqual(
      registry.records.map(({ record: { id, state } }) => `${id} ${state}`),
      ['i-1 ready'],
    );
  });

  it('gives an address back to its holder once a copy that came first has fallen silent', () => {
    const registry = createUpstreamRegistry();
    registry.applyRecord(record({ id: 'copy', service: 'nowhere' }), 0);
    registry.sweep(1_000, 5_000);
    assert.equal(registry.applyRecord(record({ sequence: 2 }), 5_010), true);
  });

  it('gives an address back to an upstream that was silent while a copy came', () => {
    const registry = createUpstreamRegistry();
    registry.applyRecord(record({ sequence: 1 }), 0);
    registry.sweep(1_000, 5_000);
    registry.applyRecord(record({ id: 'copy' }), 5_010);
    assert.equal(registry.applyRecord(record({ sequence: 2 }), 5_020), false);
    registry.sweep(1_000, 10_000);
    assert.equal(registry.applyRecord(record({ sequence: 3 }), 10_010), true);
    const usable = registry.records.filter(({ silent }) => !silent);
    assert.deepEqual(
      usable.map(({ record: { id, state } }) => `${id} ${state}`),
      ['i-1 ready'],
    );
  });

  it('does not restore a departed upstream on a delayed heartbeat', () => {
    const registry = createUpstreamRegistry();
    registry.applyRecord(record({ sequence: 3 }), 0);
    registry.applyDeparture(departure({ sequence: 3 }), 10);
    assert.equal(registry.applyRecord(record({ sequence: 4 }), 20), false);
    assert.equal(registry.records[0]?.record.state, 'gone');
  });

  it('accepts a departure from another control process whatever sequence it knows', () => {
    const [localRegistry, remoteRegistry] = [createUpstreamRegistry(), createUpstreamRegistry()];
    localRegistry.applyRecord(record({ sequence: 5 }), 0);
    remoteRegistry.applyRecord(record({ sequence: 4 }), 0);
    remoteRegistry.applyDeparture(departure({ sequence: 4 }), 10);
    for (const shared of remoteRegistry.recordsSince(0, true, 20))
      localRegistry.applyRecord(shared.record, 20);
    assert.equal(localRegistry.records[0]?.record.state, 'gone');
  });

  // Guards against an acknowledged departure that has no effect: the record comes from a peer later.
  it('applies a departure to the record of an upstream that it did not know', () => {
    const registry = createUpstreamRegistry();
    assert.equal(registry.applyDeparture(departure({}), 0), true);
    registry.applyRecord(record({ sequence: 9 }), 10);
    assert.equal(registry.get('i-1')?.record.state, 'gone');
    assert.equal(registry.departuresSince(0, 10).length, 1);
    registry.applyRecord(record({ startedAt: 101 }), 20);
    assert.equal(registry.get('i-1')?.record.state, 'ready');
  });

  it('ends what a draining upstream said before, and not what it says later', () => {
    const registry = createUpstreamRegistry();
    registry.applyDeparture(departure({ state: 'draining', sequence: 5 }), 0);
    registry.applyRecord(record({ sequence: 5 }), 10);
    assert.equal(registry.get('i-1')?.record.state, 'draining');
    registry.applyRecord(record({ sequence: 6 }), 20);
    assert.equal(registry.get('i-1')?.record.state, 'ready');
  });

  it('agrees with a view on the state after any order of heartbeats and departures', () => {
    const standing = fc.record({
      startedAt: fc.integer({ min: 1, max: 3 }),
      sequence: fc.integer({ min: 1, max: 4 }),
      state: fc.constantFrom('ready', 'draining', 'gone'),
    });
    const history = fc.uniqueArray(standing, {
      minLength: 1,
      selector: ({ startedAt, sequence }) => `${startedAt} ${sequence}`,
    });
    const orders = history.chain((standings) =>
      fc.tuple(
        fc.constant(standings),
        fc.shuffledSubarray(standings, { minLength: standings.length }),
      ),
    );
    fc.assert(
      fc.property(orders, ([standings, shuffled]) => {
        const stateAfter = (order: readonly (typeof standings)[number][]): string | undefined => {
          const registry = createUpstreamRegistry();
          const view = createDirectoryView();
          for (const { state, ...rest } of order) {
            if (state === 'ready') registry.applyRecord(record(rest), 0);
            else registry.applyDeparture(departure({ ...rest, state }), 0);
            const records = registry.recordsSince(0, true, 0);
            view.apply({ ...update, records, departures: registry.departuresSince(0, 0) }, 0);
          }
          const held = registry.get('i-1')?.record.state;
          assert.equal(view.get('i-1')?.record.state, held);
          return held === 'ready' ? 'ready' : 'not ready';
        };
        assert.equal(stateAfter(shuffled), stateAfter(standings));
      }),
    );
  });

  it('accepts a later incarnation of the same id although its sequence restarts', () => {
    const registry = createUpstreamRegistry();
    registry.applyRecord(record({ sequence: 40 }), 0);
    assert.equal(registry.applyRecord(record({ startedAt: 200, sequence: 1 }), 10), true);
    assert.equal(registry.applyRecord(record({ startedAt: 100, sequence: 41 }), 20), false);
    assert.equal(registry.records[0]?.record.startedAt, 200);
  });

  it('gives a reused address to the incarnation that started last', () => {
    const registry = createUpstreamRegistry();
    registry.applyRecord(record({ id: 'i-old', startedAt: 100 }), 0);
    registry.applyRecord(record({ id: 'i-new', startedAt: 300, service: 'other' }), 10);
    assert.equal(
      registry.applyRecord(record({ id: 'i-older', startedAt: 50, sequence: 9 }), 20),
      false,
    );
    const live = registry.records.filter((held) => held.record.state !== 'gone');
    assert.deepEqual(
      live.map((held) => held.record.id),
      ['i-new'],
    );
  });

  it('marks an upstream silent, and ready again at its next heartbeat', () => {
    const registry = createUpstreamRegistry();
    registry.applyRecord(record({}), 0);
    const knownRevision = registry.latestRevision(false);
    registry.sweep(1_000, 1_500);
    assert.ok(registry.latestRevision(false) > knownRevision);
    assert.equal(registry.recordsSince(knownRevision, false, 1_500)[0]?.silent, true);
    registry.applyRecord(record({ sequence: 2 }), 1_600);
    assert.equal(registry.recordsSince(knownRevision, false, 1_600)[0]?.silent, false);
  });

  it('reports heartbeats without changes only on request', () => {
    const registry = createUpstreamRegistry();
    registry.applyRecord(record({}), 0);
    const knownRevision = registry.latestRevision(false);
    registry.applyRecord(record({ sequence: 2 }), 100);
    assert.equal(registry.latestRevision(false), knownRevision);
    assert.equal(registry.recordsSince(knownRevision, false, 100).length, 0);
    assert.equal(registry.recordsSince(knownRevision, true, 100).length, 1);
  });
});

describe('the directory view', () => {
  it('keeps records that a recently started control process does not know yet', () => {
    const view = createDirectoryView();
    const shared = { record: record({}), ageMilliseconds: 0, silent: false };
    view.apply({ ...update, records: [shared] }, 0);
    view.apply({ ...update, control: 'c2', records: [] }, 100);
    assert.equal(view.ready('till').length, 1);
    view.apply({ ...update, control: 'c2', informedMilliseconds: 60_000, records: [] }, 200);
    assert.equal(view.ready('till').length, 0);
  });

  // Guards against attempts without end at an upstream that crashed while all control processes were
  // restarted: none of them ever hears of it, and their only complete lists come too early.
  it('removes what a control process has not listed by the time it must have heard of it', () => {
    const view = createDirectoryView();
    const listed = (id: string) => {
      const address = `10.0.0.1:${id.length}`;
      return { record: record({ id, address }), ageMilliseconds: 0, silent: false };
    };
    view.apply({ ...update, records: ['crashed', 'known', 'late'].map(listed) }, 0);
    view.apply({ ...update, control: 'c2', records: [listed('known')] }, 100);
    const later = { ...update, control: 'c2', complete: false };
    view.apply({ ...later, informedMilliseconds: 3_000, records: [listed('late')] }, 3_100);
    view.apply({ ...later, informedMilliseconds: 4_900, records: [] }, 5_000);
    assert.equal(view.ready('till').length, 3);
    view.apply({ ...later, informedMilliseconds: 5_100, records: [] }, 5_200);
    assert.deepEqual(
      view.ready('till').map(({ record: { id } }) => id),
      ['known', 'late'],
    );
  });

  it('omits draining upstreams from the ready ones', () => {
    const view = createDirectoryView();
    const draining = record({ state: 'draining', sequence: 2 });
    view.apply(
      { ...update, records: [{ record: draining, ageMilliseconds: 0, silent: false }] },
      0,
    );
    const delayed = { record: record({ sequence: 1 }), ageMilliseconds: 0, silent: false };
    view.apply({ ...update, records: [delayed] }, 10);
    assert.equal(view.ready('till').length, 0);
  });

  // Guards against a removed departure: a control process that lags listed the upstream as ready.
  it('keeps an upstream gone that one list lacks and the next one has as ready', () => {
    const view = createDirectoryView();
    const listed = (changes: Partial<UpstreamRecord>) => [
      { record: record(changes), ageMilliseconds: 0, silent: false },
    ];
    view.apply({ ...update, records: listed({ sequence: 3, state: 'gone' }) }, 0);
    view.apply({ ...update, control: 'c2', informedMilliseconds: 60_000, records: [] }, 10);
    view.apply({ ...update, control: 'c3', records: listed({ sequence: 2 }) }, 20);
    assert.equal(view.ready('till').length, 0);
  });
});
