import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { mayInterrupt, type TurnPeer } from '../src/rolloutTurn.js';

function peersOf(count: number, change: Partial<TurnPeer> = {}): readonly TurnPeer[] {
  return Array.from({ length: count }, (_peer, place) => ({
    agent: `a${place}`,
    isReady: true,
    waitsForTurn: false,
    ...change,
  }));
}

describe('the turn to switch weights', () => {
  it('lets a third of the upstreams be interrupted at the same time, at least one', () => {
    assert.ok(mayInterrupt('z', [], 0));
    assert.ok(mayInterrupt('z', peersOf(1), 0));
    const [first, ...others] = peersOf(5);
    assert.ok(first);
    assert.ok(mayInterrupt('z', [{ ...first, isReady: false }, ...others], 0));
    const two = peersOf(2, { isReady: false });
    assert.ok(!mayInterrupt('z', [...two, ...peersOf(3)], 0));
  });

  it('goes in order of the names of those that wait', () => {
    const waiting = peersOf(3, { waitsForTurn: true });
    assert.ok(!mayInterrupt('z', waiting, 0));
    assert.ok(mayInterrupt('a', waiting, 0));
  });

  it('waits for no broken upstream longer than the bounds', () => {
    assert.ok(mayInterrupt('z', peersOf(3, { waitsForTurn: true }), 10_000));
    assert.ok(!mayInterrupt('z', peersOf(3, { isReady: false }), 10_000));
    assert.ok(mayInterrupt('z', peersOf(3, { isReady: false }), 31_000));
  });
});
