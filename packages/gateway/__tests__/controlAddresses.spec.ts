import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createControlAddresses } from '../src/controlAddresses.js';

const local = '10.0.0.1:7000';
const remote = ['10.0.1.1:7000', '10.0.2.1:7000'];

function createAddresses() {
  const addresses = createControlAddresses([], 'north', () => 0.5);
  addresses.replacePeers([
    { address: local, dataCentre: 'north' },
    ...remote.map((address, index) => ({ address, dataCentre: `south-${index}` })),
  ]);
  return addresses;
}

describe('the chosen control process', () => {
  it('is the one in the same data centre while it answers', () => {
    assert.equal(createAddresses().choose(0), local);
  });

  it('is one that answers, even without a leader, rather than one that does not answer', () => {
    const addresses = createAddresses();
    addresses.recordFailure(local, 0);
    for (const address of remote) addresses.recordOutdated(address, 100);
    assert.ok(remote.includes(addresses.choose(200) ?? ''));
    assert.ok(remote.includes(addresses.choose(1_900) ?? ''));
  });

  it('backs off longer after each failure, and is reset by an answer', () => {
    const addresses = createAddresses();
    addresses.recordFailure(local, 0);
    assert.equal(addresses.choose(2_001), local);
    addresses.recordFailure(local, 2_001);
    assert.notEqual(addresses.choose(5_000), local);
    assert.equal(addresses.choose(6_002), local);
    addresses.recordAnswer(local);
    addresses.recordFailure(local, 7_000);
    assert.equal(addresses.choose(9_001), local);
  });
});
