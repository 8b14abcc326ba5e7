import type { SystemLayout } from '@burdockrail/harness/systemLayout.js';
import type { LoadOptions } from './loadOptions.js';
import { distributeEvenly } from './distributeEvenly.js';

/** Service names of the load tool. */
export const loadNames = { model: 'fogo-llm', plain: 'ledger-ponte' } as const;

const WEIGHT_BYTES = 256 * 1024;
const CHUNK_BYTES = 64 * 1024;
const ENTRIES_PER_DATA_CENTRE = 2;
const PLAIN_AGENTS = 1;

/** Layout of the system that the load tool starts; each data centre is its own region. */
export function loadLayout(options: LoadOptions): SystemLayout {
  const names = Array.from(
    { length: options.dataCentres },
    (_name, index) => `region-${index + 1}`,
  );
  const home = names[0] ?? '';
  return {
    dataCentres: names.map((name) => ({ name, region: name })),
    controls: distributeEvenly(names, names.length),
    entries: distributeEvenly(names, names.length * ENTRIES_PER_DATA_CENTRE),
    services: [
      {
        name: loadNames.model,
        kind: 'model',
        home,
        upstreams: distributeEvenly(names, options.agents),
        weights: { model: loadNames.model, version: '1' },
      },
      {
        name: loadNames.plain,
        kind: 'plain',
        home,
        upstreams: distributeEvenly(names, PLAIN_AGENTS),
        routes: [{ method: 'GET', path: '/lookup', repeatable: true }],
      },
    ],
    teams: options.teams.map(({ name }) => ({ name })),
    versions: [
      { model: loadNames.model, version: '1', size: WEIGHT_BYTES, chunkSize: CHUNK_BYTES },
    ],
    links: {
      withinDataCentreMilliseconds: 0.5,
      betweenDataCentresMilliseconds: 0.5,
      betweenRegionsMilliseconds: 1,
      clientMilliseconds: 3,
      separateProxyProcess: true,
    },
    standinProcesses: 2,
  };
}
