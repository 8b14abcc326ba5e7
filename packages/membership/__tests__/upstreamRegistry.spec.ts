import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { UpstreamRecord } from '@burdockrail/protocol/protocolDirectory.js';
import fc from 'fast-check';
import { createDirectoryView } from '../src/directoryView.js';
import { createUpstreamRegistry } from '../src/upstreamRegistry.js';

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

describe('the registry of upstreams', () => {
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
    registry.markGone('i-1', 10);
    assert.equal(registry.applyRecord(record({ sequence: 4 }), 20), false);
    assert.equal(registry.records[0]?.record.state, 'gone');
  });

  it('accepts a departure from another control process whatever sequence it knows', () => {
    const [localRegistry, remoteRegistry] = [createUpstreamRegistry(), createUpstreamRegistry()];
    localRegistry.applyRecord(record({ sequence: 5 }), 0);
    remoteRegistry.applyRecord(record({ sequence: 4 }), 0);
    remoteRegistry.markGone('i-1', 10);
    for (const shared of remoteRegistry.recordsSince(0, true, 20))
      localRegistry.applyRecord(shared.record, 20);
    assert.equal(localRegistry.records[0]?.record.state, 'gone');
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
  const update = {
    control: 'c1',
    revision: 1,
    complete: true,
    upMilliseconds: 100,
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

  it('keeps records that a recently started control process does not know yet', () => {
    const view = createDirectoryView();
    const shared = { record: record({}), ageMilliseconds: 0, silent: false };
    view.apply({ ...update, records: [shared] }, 0);
    view.apply({ ...update, control: 'c2', records: [] }, 100);
    assert.equal(view.ready('till').length, 1);
    view.apply({ ...update, control: 'c2', upMilliseconds: 60_000, records: [] }, 200);
    assert.equal(view.ready('till').length, 0);
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
});
