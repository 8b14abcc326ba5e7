import type { SystemLayout } from '@burdockrail/harness/systemLayout.js';
import { evenCounts } from './evenCounts.js';
import { linkRates } from './measureLimits.js';
import type { MeasureOptions, PlanName } from './measureOptions.js';

/** Names that a measurement uses. */
export const measureNames = { model: 'fogo-llm', team: 'piers', before: '0', after: '1' } as const;

const ENTRIES_PER_DATA_CENTRE = 2;
const MOST_CONTROLS = 3;
const ENGINES_PER_PROCESS = 12;
/** Chunks of the version before the measured one, when the two have nothing in common. */
const FIRST_VERSION_CHUNKS = 4;

/** Layout of one run: each data centre is a region of its own. */
export function measureLayout(
  options: MeasureOptions,
  replicas: number,
  plan: PlanName,
): SystemLayout {
  const { model, team, before, after } = measureNames;
  const names = Array.from(
    { length: options.dataCentres },
    (_name, index) => `region-${index + 1}`,
  );
  const rates = linkRates(options.weightBytes, options.windowSeconds);
  const shared = options.sharedChunks > 0;
  const { weightBytes: size, chunkBytes: chunkSize } = options;
  return {
    dataCentres: names.map((name) => ({ name, region: name })),
    controls: evenCounts(names, Math.min(MOST_CONTROLS, names.length)),
    entries: Object.fromEntries(names.map((name) => [name, ENTRIES_PER_DATA_CENTRE])),
    services: [
      {
        name: model,
        kind: 'model',
        home: names[0] ?? '',
        upstreams: evenCounts(names, replicas),
        weights: { model, version: before },
      },
    ],
    teams: [{ name: team }],
    versions: [
      {
        model,
        version: before,
        size: shared ? size : FIRST_VERSION_CHUNKS * chunkSize,
        chunkSize,
      },
      {
        model,
        version: after,
        size,
        chunkSize,
        ...(shared ? { sharedWith: { version: before, share: options.sharedChunks } } : {}),
      },
    ],
    links: {
      withinDataCentreMilliseconds: 0.5,
      betweenDataCentresMilliseconds: 0.5,
      betweenRegionsMilliseconds: 1,
      clientMilliseconds: 3,
      machineBytesPerSecond: rates.machine,
      regionPairBytesPerSecond: rates.regionPair,
      originBytesPerSecond: rates.origin,
      separateProxyProcess: true,
    },
    plan,
    weightBytesPerSecond: Math.floor(rates.machine * options.pace),
    standinProcesses: Math.ceil(replicas / ENGINES_PER_PROCESS) + 1,
  };
}
