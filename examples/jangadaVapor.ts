import { dataCentre } from '@burdockrail/operator/dataCentre.js';
import { defineFleet } from '@burdockrail/operator/defineFleet.js';
import { neverRepeat, repeatable } from '@burdockrail/operator/route.js';
import { modelService, plainService } from '@burdockrail/operator/service.js';
import { team } from '@burdockrail/operator/team.js';
import { version } from '@burdockrail/operator/version.js';

/** The fleet of Jangada Vapor Reservas: three regions with one data centre each. */
export default defineFleet({
  name: 'jangada-vapor',
  dataCentres: [
    dataCentre('sul-lagoa', { region: 'sul-lagoa' }),
    dataCentre('serra-leste', { region: 'serra-leste' }),
    dataCentre('litoral-norte', { region: 'litoral-norte' }),
  ],
  services: [
    modelService('fogo-llm', {
      home: 'sul-lagoa',
      upstreams: { 'sul-lagoa': 2, 'serra-leste': 2, 'litoral-norte': 2 },
      weights: version('fogo', '2026-12-01'),
      adapters: [version('fogo-trip-plans', '7'), version('fogo-raft-logs', '3')],
      checksFencing: true,
    }),
    plainService('reserva-app', {
      home: 'serra-leste',
      upstreams: { 'sul-lagoa': 1, 'serra-leste': 1, 'litoral-norte': 1 },
      routes: [repeatable('GET', '/'), neverRepeat('POST', '/bookings')],
    }),
    plainService('ledger-ponte', {
      home: 'sul-lagoa',
      upstreams: { 'sul-lagoa': 1 },
      routes: [repeatable('GET', '/'), neverRepeat('POST', '/deposits')],
    }),
  ],
  teams: [
    team('guest-phones', { share: 6, requestsPerSecond: 200 }),
    team('desk', { share: 4, requestsPerSecond: 100 }),
    team('skippers', { share: 4, requestsPerSecond: 100 }),
    team('trip-plans', { share: 2, requestsPerSecond: 40, concurrency: 32 }),
    team('raft-logs', { requestsPerSecond: 20, concurrency: 16 }),
    team('refunds', { requestsPerSecond: 10 }),
    team('accounts', { requestsPerSecond: 10 }),
    team('maintenance', { requestsPerSecond: 10 }),
    team('marketing', { requestsPerSecond: 10, concurrency: 8 }),
    team('trials', { share: 0.5, requestsPerSecond: 5, concurrency: 4 }),
  ],
});
