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
  it('returns the most specific route whose whole segments match the path', () => {
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
    it(`treats ${path} as the non-repeatable route /deposits`, () => {
      assert.equal(isRepeatable(service, 'POST', path), false);
    });
  }

  it('uses the method or the kind of service without a matching route', () => {
    const serviceWithoutRoutes = { ...service, routes: [] };
    assert.equal(isRepeatable(serviceWithoutRoutes, 'POST', '/x'), false);
    assert.equal(isRepeatable(serviceWithoutRoutes, 'GET', '/x'), true);
    assert.equal(isRepeatable({ ...serviceWithoutRoutes, kind: 'model' }, 'POST', '/x'), true);
  });
});
