import { fleetConfigurationSchema, type FleetConfiguration } from '../src/fleetConfiguration.js';

/** A plain service that is valid in {@link sampleFleet}. */
export function sampleService(name: string): object {
  return { name, kind: 'plain', home: 'north', upstreams: { north: 1 } };
}

/** A small valid fleet. */
export function sampleFleet(): FleetConfiguration {
  return fleetConfigurationSchema.parse({
    fleet: 'harbour',
    dataCentres: [
      { name: 'north', region: 'coast' },
      { name: 'south2', region: 'coast' },
    ],
    services: [
      { ...sampleService('till'), routes: [{ method: 'POST', path: '/', repeatable: false }] },
      {
        ...sampleService('assistant'),
        kind: 'model',
        upstreams: { south2: 2, north: 1 },
        weights: { model: 'assistant', version: '1' },
        adapters: [{ model: 'plans', version: '2' }],
      },
    ],
    teams: [{ name: 'guests', share: 4 }, { name: 'desk' }],
  });
}
