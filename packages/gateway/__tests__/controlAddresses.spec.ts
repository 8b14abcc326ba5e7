import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createControlAddresses } from '../src/controlAddresses.js';

const near = '10.0.0.1:7000';
const far = ['10.0.1.1:7000', '10.0.2.1:7000'];

function createAddresses() {
  const addresses = createControlAddresses([], 'north', () => 0.5);
  addresses.replacePeers([
    { address: near, dataCentre: 'north' },
    ...far.map((address, place) => ({ address, dataCentre: `south-${place}` })),
  ]);
  return addresses;
}

describe('the control process to ask', () => {
  it('is the one in the own data centre while it answers', () => {
    assert.equal(createAddresses().choose(0), near);
  });

  it('is one that answers, though it has no leader yet, rather than one that is gone', () => {
    const addresses = createAddresses();
    addresses.recordFailure(near, 0);
    for (const address of far) addresses.recordOutdated(address, 100);
    assert.ok(far.includes(addresses.choose(200) ?? ''));
    assert.ok(far.includes(addresses.choose(1_900) ?? ''));
  });

  it('is asked again later each time that it fails, and at once after an answer', () => {
    const addresses = createAddresses();
    addresses.recordFailure(near, 0);
    assert.equal(addresses.choose(2_001), near);
    addresses.recordFailure(near, 2_001);
    assert.notEqual(addresses.choose(5_000), near);
    assert.equal(addresses.choose(6_002), near);
    addresses.recordAnswer(near);
    addresses.recordFailure(near, 7_000);
    assert.equal(addresses.choose(9_001), near);
  });
});
