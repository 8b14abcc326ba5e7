import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createLeavingUpstreams } from '../src/leavingUpstreams.js';

describe('the upstreams that said that they leave', () => {
  it('include an incarnation until another one has the same id', () => {
    const leaving = createLeavingUpstreams();
    assert.equal(leaving.has({ id: 'u', startedAt: 1 }), false);
    assert.equal(leaving.add({ id: 'u', startedAt: 1 }), true);
    assert.equal(leaving.add({ id: 'u', startedAt: 1 }), false);
    assert.equal(leaving.has({ id: 'u', startedAt: 1 }), true);
    assert.equal(leaving.has({ id: 'u', startedAt: 2 }), false);
    assert.equal(leaving.has({ id: 'v', startedAt: 1 }), false);
  });

  it('do not grow without bound', () => {
    const leaving = createLeavingUpstreams();
    for (let index = 0; index <= 1_000; index += 1) leaving.add({ id: `u${index}`, startedAt: 1 });
    assert.equal(leaving.has({ id: 'u0', startedAt: 1 }), false);
    assert.equal(leaving.has({ id: 'u1', startedAt: 1 }), true);
    assert.equal(leaving.has({ id: 'u1000', startedAt: 1 }), true);
  });
});
