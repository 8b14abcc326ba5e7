import { dataCentre } from '@burdockrail/operator/dataCentre.js';
import { defineFleet, type FleetDefinition } from '@burdockrail/operator/defineFleet.js';
import { neverRepeat } from '@burdockrail/operator/route.js';
import { modelService, plainService } from '@burdockrail/operator/service.js';
import { team } from '@burdockrail/operator/team.js';
import { version } from '@burdockrail/operator/version.js';
import type { SystemLayout } from '@burdockrail/harness/systemLayout.js';

/** Size of the quickstart's weights and of their chunks, in bytes. */
const WEIGHT_BYTES = 4 * 1024 * 1024;
const CHUNK_BYTES = 64 * 1024;

/** Bandwidth of the quickstart's origin, low enough for the rollout progress to be visible. */
const ORIGIN_BYTES_PER_SECOND = 4 * 1024 * 1024;

const MODEL = 'fogo-llm';
const SERVICE = 'ledger-ponte';
const TEAM = 'piers';

/** Names that the steps of the quickstart use. */
export const quickstartNames = { model: MODEL, service: SERVICE, team: TEAM } as const;

const dataCentres = [
  { name: 'sul-lagoa', region: 'sul-lagoa' },
  { name: 'serra-leste', region: 'serra-leste' },
  { name: 'litoral-norte', region: 'litoral-norte' },
] as const;

/** Fleet definition of the quickstart for one version of the model. */
export function quickstartFleet(weights: string): FleetDefinition {
  return defineFleet({
    name: 'quickstart',
    dataCentres: dataCentres.map(({ name, region }) => dataCentre(name, { region })),
    services: [
      modelService(MODEL, {
        home: 'sul-lagoa',
        upstreams: { 'sul-lagoa': 4, 'serra-leste': 4, 'litoral-norte': 4 },
        weights: version(MODEL, weights),
      }),
      plainService(SERVICE, {
        home: 'sul-lagoa',
        upstreams: { 'sul-lagoa': 1, 'serra-leste': 0, 'litoral-norte': 0 },
        routes: [neverRepeat('POST', '/deposits')],
      }),
    ],
    teams: [team(TEAM), team('desk')],
  });
}

/** System of the quickstart: 3 control replicas, 6 entries, 12 engines and a plain service. */
export const quickstartLayout: SystemLayout = {
  dataCentres,
  controls: { 'sul-lagoa': 1, 'serra-leste': 1, 'litoral-norte': 1 },
  entries: { 'sul-lagoa': 2, 'serra-leste': 2, 'litoral-norte': 2 },
  services: [
    {
      name: MODEL,
      kind: 'model',
      home: 'sul-lagoa',
      upstreams: { 'sul-lagoa': 4, 'serra-leste': 4, 'litoral-norte': 4 },
    },
    { name: SERVICE, kind: 'plain', home: 'sul-lagoa', upstreams: { 'sul-lagoa': 1 } },
  ],
  teams: [{ name: TEAM }, { name: 'desk' }],
  versions: [
    { model: MODEL, version: '1', size: WEIGHT_BYTES, chunkSize: CHUNK_BYTES },
    {
      model: MODEL,
      version: '2',
      size: WEIGHT_BYTES,
      chunkSize: CHUNK_BYTES,
      sharedWith: { version: '1', share: 0.5 },
    },
  ],
  originBytesPerSecond: ORIGIN_BYTES_PER_SECOND,
  standinProcesses: 1,
};
