import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom } from '../src/seededRandom.js';

describe('createSeededRandom', () => {
  it('repeats a sequence under the same seed', () => {
    const first = createSeededRandom(7);
    const second = createSeededRandom(7);
    for (let index = 0; index < 100; index += 1) assert.equal(first.next(), second.next());
  });

  it('stays below the bound', () => {
    const random = createSeededRandom(1);
    for (let index = 0; index < 1000; index += 1) assert.ok(random.nextInteger(3) < 3);
  });
});
