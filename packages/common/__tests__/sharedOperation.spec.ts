import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { createSharedOperation } from '../src/sharedOperation.js';

const CALLS = 100;
const OPERATION_MILLISECONDS = 20;

describe('a shared operation', () => {
  it('runs a few times for many callers, each time after their calls', async () => {
    let value = 0;
    let runs = 0;
    const read = createSharedOperation(
      async () => {
        runs += 1;
        const read = value;
        await pause(OPERATION_MILLISECONDS);
        return read;
      },
      { maximumConcurrent: 2 },
    );
    const reads: Promise<number>[] = [];
    for (let call = 1; call <= CALLS; call += 1) {
      value = call;
      reads.push(read());
    }
    const results = await Promise.all(reads);
    assert.ok(results.every((result, index) => result >= index + 1));
    assert.equal(runs, 3);
    assert.equal(await read(), CALLS);
  });

  it('runs again after a failure', async () => {
    let runs = 0;
    const read = createSharedOperation(
      async () => {
        runs += 1;
        await pause(1);
        if (runs === 1) throw new Error('unreachable');
        return runs;
      },
      { maximumConcurrent: 1 },
    );
    const [first, second, third] = await Promise.allSettled([read(), read(), read()]);
    assert.equal(first.status, 'rejected');
    assert.deepEqual([second, third], Array(2).fill({ status: 'fulfilled', value: 2 }));
  });
});
