import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { fleetDigest, fleetYaml } from '../src/fleetCanonical.js';
import { fleetDifference, formatFleetChange } from '../src/fleetDifference.js';
import { sampleFleet } from './sampleFleet.js';

describe('fleetDifference', () => {
  it('is empty for the same fleet with its lists in another order', () => {
    const fleet = sampleFleet();
    const reordered = {
      ...fleet,
      dataCentres: [...fleet.dataCentres].reverse(),
      services: [...fleet.services].reverse(),
      teams: [...fleet.teams].reverse(),
    };
    assert.deepEqual(fleetDifference(fleet, reordered), []);
    assert.equal(fleetDigest(reordered), fleetDigest(fleet));
    assert.equal(fleetYaml(reordered), fleetYaml(fleet));
  });

  it('reports added, removed and changed fields by path', () => {
    const before = sampleFleet();
    const services = before.services.map((service) =>
      service.kind === 'plain'
        ? { ...service, routes: [] }
        : { ...service, weights: { model: 'assistant', version: '2' }, adapters: [] },
    );
    const teams = [...before.teams, { name: 'trials', share: 1, concurrency: 2 }];
    const lines = fleetDifference(before, { ...before, services, teams }).map(formatFleetChange);
    assert.deepEqual(lines, [
      '- services[assistant].adapters[plans].model: "plans"',
      '- services[assistant].adapters[plans].version: "2"',
      '~ services[assistant].weights.version: "1" -> "2"',
      '- services[till].routes[POST /].method: "POST"',
      '- services[till].routes[POST /].path: "/"',
      '- services[till].routes[POST /].repeatable: false',
      '+ teams[trials].concurrency: 2',
      '+ teams[trials].name: "trials"',
      '+ teams[trials].share: 1',
    ]);
  });

  it('reports every field as added without a previous configuration', () => {
    const changes = fleetDifference(null, sampleFleet());
    assert.ok(changes.length > 0);
    assert.ok(changes.every((change) => change.kind === 'added'));
  });
});
