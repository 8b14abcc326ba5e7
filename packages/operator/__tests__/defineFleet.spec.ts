import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { dataCentre } from '../src/dataCentre.js';
import { defineFleet } from '../src/defineFleet.js';
import { modelService } from '../src/service.js';
import { team } from '../src/team.js';
import { version } from '../src/version.js';

const dataCentres = [dataCentre('north', { region: 'coast' })];
const teams = [team('guests', { share: 4 })];
const weights = version('assistant', '1');

describe('defineFleet', () => {
  it('formats equal declarations as identical YAML', () => {
    const declare = (): string =>
      defineFleet({
        name: 'harbour',
        dataCentres,
        services: [modelService('assistant', { home: 'north', upstreams: { north: 2 }, weights })],
        teams,
      }).toYaml();
    assert.equal(declare(), declare());
    assert.match(declare(), /^fleet: harbour\n/u);
  });

  it('rejects an undeclared data centre at compile time and in the check', () => {
    const misplaced = modelService('assistant', {
      home: 'south',
      upstreams: { south: 1 },
      weights,
    });
    // @ts-expect-error: the fleet declares only `north`.
    const definition = defineFleet({ name: 'harbour', dataCentres, services: [misplaced], teams });
    assert.throws(() => definition.toYaml(), /407 FleetDataCentreUnknown: services\[assistant\]/u);
  });
});
