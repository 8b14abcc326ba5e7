import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createByteBudget } from '../src/byteBudget.js';
import { createByteCollector } from '../src/byteCollector.js';

const RUNS = { numRuns: 200, seed: 37 };

describe('gathered bytes', () => {
  it('do not depend on how they were cut', () => {
    const parts = fc.array(fc.uint8Array({ maxLength: 3_000 }), { maxLength: 40 });
    fc.assert(
      fc.property(parts, (cut) => {
        const collector = createByteCollector({ maximumBytes: 200_000 });
        for (const part of cut) assert.ok(collector.add(part));
        assert.deepEqual(collector.take(), Buffer.concat(cut));
        assert.equal(collector.size, 0);
      }),
      RUNS,
    );
  });

  it('reserve at most twice their size from a shared budget, and give it back', () => {
    const sizes = fc.integer({ min: 1, max: 300_000 });
    fc.assert(
      fc.property(sizes, fc.integer({ min: 1, max: 5_000 }), (size, partBytes) => {
        let reserved = 0;
        const budget = {
          tryReserve: (bytes: number) => {
            reserved += bytes;
            return true;
          },
          release: (bytes: number) => {
            reserved -= bytes;
          },
        };
        const collector = createByteCollector({ maximumBytes: 400_000, budget });
        for (let added = 0; added < size; added += partBytes)
          collector.add(Buffer.alloc(Math.min(partBytes, size - added)));
        assert.ok(reserved <= Math.max(1_024, 2 * size + 1_024), `${reserved} for ${size}`);
        collector.close();
        assert.equal(reserved, 0);
      }),
      RUNS,
    );
  });

  it('are dropped beyond the limit and beyond the budget, and none are taken later', () => {
    const limited = createByteCollector({ maximumBytes: 4 });
    assert.ok(limited.add(Buffer.from('1234')));
    assert.equal(limited.add(Buffer.from('5')), false);
    assert.equal(limited.add(Buffer.from('')), false);
    assert.equal(limited.size, 0);
    const budget = createByteBudget(1_024);
    const first = createByteCollector({ maximumBytes: 9_000, budget });
    const second = createByteCollector({ maximumBytes: 9_000, budget });
    assert.ok(first.add(Buffer.from('a')));
    assert.equal(second.add(Buffer.from('b')), false);
    assert.equal(first.take().toString(), 'a');
    assert.ok(createByteCollector({ maximumBytes: 9_000, budget }).add(Buffer.from('c')));
  });
});
