import { dataCentre } from '@burdockrail/operator/dataCentre.js';
import { defineFleet } from '@burdockrail/operator/defineFleet.js';
import { neverRepeat, repeatable } from '@burdockrail/operator/route.js';
import { plainService } from '@burdockrail/operator/service.js';
import { team } from '@burdockrail/operator/team.js';

export default defineFleet({
  name: 'harbour',
  dataCentres: [dataCentre('north', { region: 'coast' })],
  services: [
    plainService('till', {
      home: 'south',
      upstreams: { north: 1 },
      routes: [neverRepeat('POST', '/deposits'), repeatable('POST', '/deposits/small')],
    }),
  ],
  teams: [team('guests'), team('guests')],
});
