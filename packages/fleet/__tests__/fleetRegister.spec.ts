import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFleetRegister, type FleetCommand } from '../src/fleetRegister.js';

function order(orderId: string, expectedRevision: number, document: string): FleetCommand {
  return { kind: 'apply', orderId, expectedRevision, document };
}

const position = { index: 7, term: 3 };

describe('the register of configurations', () => {
  it('accepts one of two orders that expect the same revision and gives the other a conflict', () => {
    const register = createFleetRegister();
    const first = register.apply(order('a', 0, 'one'), position);
    const second = register.apply(order('b', 0, 'two'), position);
    assert.equal(first.kind, 'accepted');
    assert.deepEqual(second, { ...first, kind: 'conflict' });
    const current = register.query({ kind: 'current' });
    assert.ok(current !== null && 'document' in current);
    assert.deepEqual([current.document, current.revision, current.term], ['one', 1, 3]);
  });

  it('answers a resent order with its first result, also after a restore from a snapshot', () => {
    const register = createFleetRegister();
    const accepted = register.apply(order('a', 0, 'one'), position);
    const conflict = register.apply(order('b', 0, 'two'), position);
    register.apply(order('c', 1, 'three'), position);
    const restored = createFleetRegister();
    restored.restore(structuredClone(register.snapshot()));
    for (const replica of [register, restored]) {
      assert.deepEqual(replica.apply(order('a', 0, 'one'), position), accepted);
      assert.deepEqual(replica.apply(order('b', 0, 'two'), position), conflict);
      const current = replica.query({ kind: 'current' });
      assert.ok(current !== null && 'revision' in current);
      assert.equal(current.revision, 2);
    }
  });

  it('records which groups were formed', () => {
    const register = createFleetRegister();
    const formGroup = { kind: 'formGroup', group: 'ledger.a' } as const;
    assert.deepEqual(register.apply(formGroup, position), { kind: 'recorded', isNew: true });
    assert.deepEqual(register.apply(formGroup, position), { kind: 'recorded', isNew: false });
    assert.deepEqual(register.query({ kind: 'groups' }), ['ledger.a']);
  });
});
