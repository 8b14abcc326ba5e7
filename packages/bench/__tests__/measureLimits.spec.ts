import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { linkRates, rolloutLimits } from '../src/measureLimits.js';
import { parseMeasureOptions } from '../src/measureOptions.js';
import { median } from '../src/measureSummary.js';

const SIZE = 8_000_000;
const WINDOW_SECONDS = 16;

describe('rolloutLimits', () => {
  it('is determined by the machine link, which carries two copies in the window', () => {
    const limits = rolloutLimits(SIZE, 3, linkRates(SIZE, WINDOW_SECONDS));
    assert.equal(limits.bottleneck, 'machine');
    assert.equal(limits.seconds, WINDOW_SECONDS / 2);
    assert.equal(limits.interRegionCopies, 2 / 3);
  });

  it('is determined by the links between regions when they are slow', () => {
    const rates = { origin: 4_000_000, machine: 2_000_000, regionPair: 100_000 };
    const limits = rolloutLimits(SIZE, 2, rates);
    assert.equal(limits.bottleneck, 'regions');
    assert.equal(limits.seconds, SIZE / 2 / rates.regionPair);
  });

  it('expects no copies between regions when there is only one region', () => {
    assert.equal(rolloutLimits(SIZE, 1, linkRates(SIZE, WINDOW_SECONDS)).interRegionCopies, 0);
  });
});

describe('parseMeasureOptions', () => {
  it('defaults to three rounds for several plans and one round for a single plan', () => {
    assert.equal(parseMeasureOptions(['--plan', 'all']).rounds, 3);
    assert.equal(parseMeasureOptions([]).rounds, 1);
    assert.deepEqual(parseMeasureOptions(['--replicas', '12,24']).replicas, [12, 24]);
  });

  it('rejects unknown plans, invalid counts and unknown options', () => {
    assert.throws(() => parseMeasureOptions(['--plan', 'ring']), /unknown plan ring/u);
    assert.throws(() => parseMeasureOptions(['--replicas', 'many']), /whole numbers/u);
    assert.throws(() => parseMeasureOptions(['--bandwidth', '1']));
  });
});

describe('median', () => {
  it('is the middle value, or the mean of the two middle values', () => {
    assert.equal(median([3, 1, 2]), 2);
    assert.equal(median([4, 1, 2, 3]), 2.5);
  });
});
