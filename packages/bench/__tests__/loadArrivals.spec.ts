import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom } from '@burdockrail/common/seededRandom.js';
import { nextArrival } from '../src/loadArrivals.js';
import { parseLoadOptions } from '../src/loadOptions.js';

const ARRIVALS = 2_000;

function arrivals(seed: number) {
  const options = parseLoadOptions(['--teams', 'large:8,small:2', '--plain', '0.25']);
  const random = createSeededRandom(seed);
  return Array.from({ length: ARRIVALS }, (_arrival, number) =>
    nextArrival(options, 6, number, random),
  );
}

describe('nextArrival', () => {
  it('generates the same arrivals for the same seed', () => {
    assert.deepEqual(arrivals(3), arrivals(3));
  });

  it('follows the configured shares of teams and classes', () => {
    const all = arrivals(3);
    const large = all.filter(({ team }) => team === 'large').length / ARRIVALS;
    const plain = all.filter((arrival) => arrival.class === 'plain').length / ARRIVALS;
    assert.ok(Math.abs(large - 0.8) < 0.04, String(large));
    assert.ok(Math.abs(plain - 0.25) < 0.04, String(plain));
  });
});
