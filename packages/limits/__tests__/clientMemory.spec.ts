import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createClientMemory, type ClientAccount, type ClientMemory } from '../src/clientMemory.js';

const MAXIMUM_BYTES = 1_000;

/** Longer than what counts as a stall, in milliseconds. */
const STALL_MILLISECONDS = 2_000;

function openEvictable(memory: ClientMemory, name: string, evicted: string[]): ClientAccount {
  const account = memory.open(0);
  account.setEviction(() => {
    evicted.push(name);
  });
  return account;
}

describe('the memory of clients', () => {
  it('is never exceeded by reservations', () => {
    const memory = createClientMemory(MAXIMUM_BYTES);
    const first = memory.open(0);
    assert.ok(first.tryReserve(600, 0));
    const second = memory.open(0);
    assert.equal(second.tryReserve(600, 0), false);
    assert.equal(memory.heldBytes, 600);
    first.close();
    assert.ok(second.tryReserve(600, 0));
  });

  it('gives up the largest exchange for a smaller one, but not for a larger one', () => {
    const memory = createClientMemory(MAXIMUM_BYTES);
    const evicted: string[] = [];
    openEvictable(memory, 'large', evicted).tryReserve(600, 0);
    openEvictable(memory, 'small', evicted).tryReserve(300, 0);
    assert.equal(memory.open(0).tryReserve(700, 0), false);
    assert.deepEqual(evicted, []);
    assert.ok(memory.open(0).tryReserve(200, 0));
    assert.deepEqual(evicted, ['large']);
  });

  it('gives up an exchange that stalls before a larger one that goes on', () => {
    const memory = createClientMemory(MAXIMUM_BYTES);
    const evicted: string[] = [];
    const large = openEvictable(memory, 'large', evicted);
    large.tryReserve(600, 0);
    openEvictable(memory, 'stalled', evicted).tryReserve(300, 0);
    large.progressed(STALL_MILLISECONDS);
    assert.ok(memory.open(0).tryReserve(250, STALL_MILLISECONDS));
    assert.deepEqual(evicted, ['stalled']);
  });

  it('gives up nothing whose request may run', () => {
    const memory = createClientMemory(MAXIMUM_BYTES);
    const evicted: string[] = [];
    const account = openEvictable(memory, 'running', evicted);
    account.tryReserve(900, 0);
    account.setEviction(null);
    assert.equal(memory.open(0).tryReserve(200, STALL_MILLISECONDS), false);
    assert.deepEqual(evicted, []);
  });

  it('evicts until answers that clients do not read fit', () => {
    const memory = createClientMemory(MAXIMUM_BYTES);
    const evicted: string[] = [];
    openEvictable(memory, 'first', evicted).reserve(700, 0);
    openEvictable(memory, 'second', evicted).reserve(800, 0);
    assert.deepEqual(evicted, ['second']);
    assert.equal(memory.heldBytes, 700);
  });

  it('holds nothing of an exchange that was evicted or has ended', () => {
    const memory = createClientMemory(MAXIMUM_BYTES);
    const account = openEvictable(memory, 'large', []);
    account.tryReserve(900, 0);
    assert.ok(memory.open(0).tryReserve(500, 0));
    account.release(900);
    account.reserve(400, 0);
    assert.equal(account.tryReserve(1, 0), false);
    account.close();
    assert.equal(memory.heldBytes, 500);
  });
});
