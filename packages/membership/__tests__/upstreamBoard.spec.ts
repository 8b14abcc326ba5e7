import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { UpstreamRecord } from '@burdockrail/protocol/protocolDirectory.js';
import fc from 'fast-check';
import { createDirectoryView } from '../src/directoryView.js';
import { createUpstreamBoard } from '../src/upstreamBoard.js';

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

describe('the board of upstreams', () => {
  it('keeps the newest record whatever the order of arrival', () => {
    const sequences = fc.uniqueArray(fc.integer({ min: 1, max: 50 }), { minLength: 1 });
    fc.assert(
      fc.property(sequences, (order) => {
        const board = createUpstreamBoard();
        for (const sequence of order) board.take(record({ sequence, slots: sequence }), 0);
        assert.equal(board.records[0]?.record.slots, Math.max(...order));
      }),
    );
  });

  it('does not revive an upstream that left by a heartbeat that was held up', () => {
    const board = createUpstreamBoard();
    board.take(record({ sequence: 3 }), 0);
    board.leave('i-1', 10);
    assert.equal(board.take(record({ sequence: 4 }), 20), false);
    assert.equal(board.records[0]?.record.state, 'gone');
  });

  it('takes the end of an upstream from another control process, whatever was heard last', () => {
    const [here, there] = [createUpstreamBoard(), createUpstreamBoard()];
    here.take(record({ sequence: 5 }), 0);
    there.take(record({ sequence: 4 }), 0);
    there.leave('i-1', 10);
    for (const shared of there.since(0, true, 20)) here.take(shared.record, 20);
    assert.equal(here.records[0]?.record.state, 'gone');
  });

  it('takes a later incarnation under the same id, whose counts start anew', () => {
    const board = createUpstreamBoard();
    board.take(record({ sequence: 40 }), 0);
    assert.equal(board.take(record({ startedAt: 200, sequence: 1 }), 10), true);
    assert.equal(board.take(record({ startedAt: 100, sequence: 41 }), 20), false);
    assert.equal(board.records[0]?.record.startedAt, 200);
  });

  it('gives a reused address to the incarnation that started last', () => {
    const board = createUpstreamBoard();
    board.take(record({ id: 'i-old', startedAt: 100 }), 0);
    board.take(record({ id: 'i-new', startedAt: 300, service: 'other' }), 10);
    assert.equal(board.take(record({ id: 'i-older', startedAt: 50, sequence: 9 }), 20), false);
    const live = board.records.filter((held) => held.record.state !== 'gone');
    assert.deepEqual(
      live.map((held) => held.record.id),
      ['i-new'],
    );
  });

  it('marks an upstream silent, and ready again at its next heartbeat', () => {
    const board = createUpstreamBoard();
    board.take(record({}), 0);
    const known = board.latest(false);
    board.sweep(1_000, 1_500);
    assert.ok(board.latest(false) > known);
    assert.equal(board.since(known, false, 1_500)[0]?.silent, true);
    board.take(record({ sequence: 2 }), 1_600);
    assert.equal(board.since(known, false, 1_600)[0]?.silent, false);
  });

  it('tells entries nothing of heartbeats that change nothing', () => {
    const board = createUpstreamBoard();
    board.take(record({}), 0);
    const known = board.latest(false);
    board.take(record({ sequence: 2 }), 100);
    assert.equal(board.latest(false), known);
    assert.equal(board.since(known, false, 100).length, 0);
    assert.equal(board.since(known, true, 100).length, 1);
  });
});

describe('the view of a watcher', () => {
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
    crashRevision: 0,
    crashes: [],
  };

  it('keeps what a control process that has just started does not know yet', () => {
    const view = createDirectoryView();
    const shared = { record: record({}), ageMilliseconds: 0, silent: false };
    view.apply({ ...update, records: [shared] }, 0);
    view.apply({ ...update, control: 'c2', records: [] }, 100);
    assert.equal(view.ready('till').length, 1);
    view.apply({ ...update, control: 'c2', upMilliseconds: 60_000, records: [] }, 200);
    assert.equal(view.ready('till').length, 0);
  });

  it('leaves out upstreams that drain', () => {
    const view = createDirectoryView();
    const draining = record({ state: 'draining', sequence: 2 });
    view.apply(
      { ...update, records: [{ record: draining, ageMilliseconds: 0, silent: false }] },
      0,
    );
    const late = { record: record({ sequence: 1 }), ageMilliseconds: 0, silent: false };
    view.apply({ ...update, records: [late] }, 10);
    assert.equal(view.ready('till').length, 0);
  });
});
