import { dataCentre } from '@burdockrail/operator/dataCentre.js';
import { defineFleet } from '@burdockrail/operator/defineFleet.js';
import { team } from '@burdockrail/operator/team.js';

export default defineFleet({
  name: 'Harbour',
  dataCentres: [dataCentre('north', { region: 'coast' })],
  services: [{ name: 'till', kind: 'plian', home: 'north', upstreams: { north: -1 } }],
  teams: [team('guests', { requestPerSecond: 5, share: 0 })],
});
