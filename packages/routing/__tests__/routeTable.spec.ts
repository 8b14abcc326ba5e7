import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  configurationIssue,
  type Route,
  type RouteConfiguration,
} from '../src/routeConfiguration.js';
import { chooseService, createRouteTable } from '../src/routeTable.js';

function route(changes: Partial<Route>): Route {
  return {
    name: 'r',
    host: 'a.example',
    pathPrefix: '/',
    kind: 'repeatable',
    timeoutMilliseconds: 1_000,
    objectiveMilliseconds: 100,
    pauseMilliseconds: 0,
    priority: 1,
    services: [{ service: 's', weight: 1 }],
    attempts: 2,
    open: false,
    resumable: false,
    ...changes,
  };
}

function configuration(changes: Partial<RouteConfiguration>): RouteConfiguration {
  const service = { name: 's', maximumConnections: 10, engine: null, origin: null };
  return {
    version: 1,
    routes: [route({})],
    services: [service],
    teams: [],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 1_000,
      headerTimeoutMilliseconds: 3_000,
      idleTimeoutMilliseconds: 15_000,
    },
    ...changes,
  };
}

describe('the route table', () => {
  const routes = [
    route({ name: 'root' }),
    route({ name: 'deep', pathPrefix: '/a/b/' }),
    route({ name: 'shallow', pathPrefix: '/a/' }),
    route({ name: 'other', host: 'b.example', pathPrefix: '/a/' }),
  ];
  const table = createRouteTable(configuration({ routes }));

  it('matches the longest path prefix of the host', () => {
    assert.equal(table.match('a.example', '/a/b/c')?.name, 'deep');
    assert.equal(table.match('A.example:80', '/a/x?y=/a/b/')?.name, 'shallow');
    assert.equal(table.match('b.example', '/a/b/c')?.name, 'other');
    assert.equal(table.match('b.example', '/c'), undefined);
    assert.equal(table.match('a.example', '/ab')?.name, 'root');
  });

  it('splits requests by weight and never chooses a service with weight zero', () => {
    const split = route({
      services: [
        { service: 'none', weight: 0 },
        { service: 'most', weight: 90 },
        { service: 'some', weight: 10 },
      ],
    });
    assert.equal(chooseService(split, 0), 'most');
    assert.equal(chooseService(split, 0.899), 'most');
    assert.equal(chooseService(split, 0.901), 'some');
    assert.equal(chooseService(split, 0.999_999), 'some');
  });
});

describe('configuration validation', () => {
  const cases: readonly (readonly [string, Partial<RouteConfiguration>])[] = [
    ['an unknown service', { routes: [route({ services: [{ service: 'x', weight: 1 }] })] }],
    [
      'two routes with the same host and path prefix',
      { routes: [route({ name: 'one' }), route({ name: 'two' })] },
    ],
    ['weights that sum to zero', { routes: [route({ services: [{ service: 's', weight: 0 }] })] }],
    ['a timeout of zero', { routes: [route({ timeoutMilliseconds: 0 })] }],
    ['a prefix without a slash', { routes: [route({ pathPrefix: '/a' })] }],
    [
      'a key shared by two teams',
      {
        teams: [
          { name: 'one', keys: ['k'], priority: null },
          { name: 'two', keys: ['k'], priority: null },
        ],
      },
    ],
  ];
  for (const [name, changes] of cases) {
    it(`rejects ${name}`, () => {
      assert.notEqual(configurationIssue(configuration(changes)), null);
    });
  }

  it('accepts a valid one', () => {
    assert.equal(configurationIssue(configuration({})), null);
  });
});
