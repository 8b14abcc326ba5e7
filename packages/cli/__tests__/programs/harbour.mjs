import { dataCentre } from '@burdockrail/operator/dataCentre.js';
import { defineFleet } from '@burdockrail/operator/defineFleet.js';
import { neverRepeat } from '@burdockrail/operator/route.js';
import { modelService, plainService } from '@burdockrail/operator/service.js';
import { team } from '@burdockrail/operator/team.js';
import { version } from '@burdockrail/operator/version.js';

/** Defines a fleet of two data centres that serves the given version of weights. */
export function harbour(weights) {
  return defineFleet({
    name: 'harbour',
    dataCentres: [dataCentre('north', { region: 'coast' }), dataCentre('south', { region: 'bay' })],
    services: [
      modelService('assistant', {
        home: 'north',
        upstreams: { north: 2, south: 1 },
        weights: version('assistant', weights),
      }),
      plainService('till', {
        home: 'north',
        upstreams: { north: 1 },
        routes: [neverRepeat('POST', '/deposits')],
      }),
    ],
    teams: [team('guests', { share: 4 })],
  });
}

export default harbour('1');
