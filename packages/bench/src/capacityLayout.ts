import type { CountByDataCentre, SystemLayout } from '@burdockrail/harness/systemLayout.js';

/** Size of a measured system. */
export interface CapacitySize {
  readonly dataCentres: number;
  readonly entriesPerDataCentre: number;
  readonly modelsPerDataCentre: number;
}

const KIBIBYTE = 1024;
const ENGINES_PER_PROCESS = 16;

/** Names that the capacity measurement uses. */
export const capacityNames = { model: 'model', plain: 'plain', team: 'team' } as const;

function countInEach(names: readonly string[], count: number): CountByDataCentre {
  return Object.fromEntries(names.map((name) => [name, count]));
}

/** Layout of a system without a fault proxy; each data centre is its own region. */
export function capacityLayout(size: CapacitySize): SystemLayout {
  const names = Array.from({ length: size.dataCentres }, (_name, index) => `zone-${index + 1}`);
  const { model, plain, team } = capacityNames;
  const home = names[0] ?? '';
  return {
    dataCentres: names.map((name) => ({ name, region: name })),
    controls: countInEach(names, 1),
    entries: countInEach(names, size.entriesPerDataCentre),
    services: [
      {
        name: model,
        kind: 'model',
        home,
        upstreams: countInEach(names, size.modelsPerDataCentre),
        weights: { model, version: '1' },
      },
      {
        name: plain,
        kind: 'plain',
        home,
        upstreams: { [home]: 1 },
        routes: [{ method: 'POST', path: '/deposits', repeatable: false }],
        runMilliseconds: 1,
      },
    ],
    teams: [{ name: team }],
    versions: [{ model, version: '1', size: 64 * KIBIBYTE, chunkSize: 16 * KIBIBYTE }],
    standinProcesses: Math.ceil(
      (size.modelsPerDataCentre * size.dataCentres) / ENGINES_PER_PROCESS,
    ),
  };
}
