import { dataCentre } from '@burdockrail/operator/dataCentre.js';
import { defineFleet } from '@burdockrail/operator/defineFleet.js';
import { neverRepeat, repeatable } from '@burdockrail/operator/route.js';
import { modelService, plainService } from '@burdockrail/operator/service.js';
import { team } from '@burdockrail/operator/team.js';
import { version } from '@burdockrail/operator/version.js';

/** The fleet of the Państwowy Urząd Szlifierstwa Stalówek. */
export default defineFleet({
  name: 'urzad-szlifierstwa',
  dataCentres: [
    dataCentre('mazowsze', { region: 'mazowsze' }),
    dataCentre('malopolska', { region: 'malopolska' }),
    dataCentre('pomorze', { region: 'pomorze' }),
  ],
  services: [
    modelService('szlif-model', {
      home: 'mazowsze',
      upstreams: { mazowsze: 2, malopolska: 2, pomorze: 2 },
      weights: version('szlif', '2026-11'),
      adapters: [version('szlif-inspection', '4')],
    }),
    plainService('rejestr', {
      home: 'mazowsze',
      upstreams: { mazowsze: 1, malopolska: 1, pomorze: 1 },
      routes: [repeatable('GET', '/'), neverRepeat('POST', '/regrinds')],
    }),
    plainService('kasa', {
      home: 'malopolska',
      upstreams: { malopolska: 1 },
      routes: [repeatable('GET', '/'), neverRepeat('POST', '/charges')],
    }),
  ],
  teams: [
    team('grinders', { share: 6, requestsPerSecond: 120 }),
    team('registry-clerks', { share: 4, requestsPerSecond: 80 }),
    team('archives', { share: 2, requestsPerSecond: 40 }),
    team('schools', { share: 2, requestsPerSecond: 40 }),
    team('complaints', { requestsPerSecond: 20 }),
    team('inspection', { requestsPerSecond: 20, concurrency: 16 }),
    team('cash-desk', { requestsPerSecond: 10 }),
    team('ministry', { requestsPerSecond: 10 }),
    team('training', { share: 0.5, requestsPerSecond: 10, concurrency: 8 }),
    team('trials', { share: 0.5, requestsPerSecond: 5, concurrency: 4 }),
  ],
});
