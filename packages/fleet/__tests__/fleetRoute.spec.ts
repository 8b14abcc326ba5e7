import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { serviceSchema } from '../src/fleetConfiguration.js';
import { findRoute, isRepeatable } from '../src/fleetRoute.js';
import { sampleService } from './sampleFleet.js';

const service = serviceSchema.parse({
  ...sampleService('till'),
  routes: [
    { method: 'POST', path: '/', repeatable: true },
    { method: 'POST', path: '/deposits', repeatable: false },
  ],
});

describe('findRoute', () => {
  it('takes the most specific route whose segments cover the path', () => {
    assert.equal(findRoute(service, 'POST', '/deposits/7')?.path, '/deposits');
    assert.equal(findRoute(service, 'POST', '/depositslip')?.path, '/');
    assert.equal(findRoute(service, 'GET', '/deposits'), undefined);
  });
});

describe('isRepeatable', () => {
  const spellings = [
    '/deposits/',
    '//deposits',
    '/Deposits',
    '/%64eposits',
    '/quotes/../deposits?now=1',
    '/quotes/%2e%2e/deposits',
    '\\deposits',
  ];
  for (const path of spellings) {
    it(`protects a non-repeatable route spelt ${path}`, () => {
      assert.equal(isRepeatable(service, 'POST', path), false);
    });
  }

  it('falls back to the method of a plain service', () => {
    const bare = { ...service, routes: [] };
    assert.equal(isRepeatable(bare, 'POST', '/x'), false);
    assert.equal(isRepeatable(bare, 'GET', '/x'), true);
    assert.equal(isRepeatable({ ...bare, kind: 'model' }, 'POST', '/x'), true);
  });
});
