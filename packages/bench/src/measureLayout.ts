import type { SystemLayout } from '@burdockrail/harness/systemLayout.js';
import { distributeEvenly } from './distributeEvenly.js';
import { linkRates } from './measureLimits.js';
import type { MeasureOptions, PlanName } from './measureOptions.js';

/** Names and versions that a measurement uses. */
export const measureNames = {
  model: 'fogo-llm',
  team: 'piers',
  oldVersion: '0',
  newVersion: '1',
} as const;

const ENTRIES_PER_DATA_CENTRE = 2;
const MAXIMUM_CONTROLS = 3;
const ENGINES_PER_PROCESS = 12;
/** Chunks of the old version when it shares none with the new one. */
const OLD_VERSION_CHUNKS = 4;

/** Layout of one run; each data centre is its own region. */
export function measureLayout(
  options: MeasureOptions,
  replicas: number,
  plan: PlanName,
): SystemLayout {
  const { model, team, oldVersion, newVersion } = measureNames;
  const names = Array.from(
    { length: options.dataCentres },
    (_name, index) => `region-${index + 1}`,
  );
  const rates = linkRates(options.weightBytes, options.windowSeconds);
  const shared = options.sharedChunks > 0;
  const { weightBytes: size, chunkBytes: chunkSize } = options;
  return {
    dataCentres: names.map((name) => ({ name, region: name })),
    controls: distributeEvenly(names, Math.min(MAXIMUM_CONTROLS, names.length)),
    entries: Object.fromEntries(names.map((name) => [name, ENTRIES_PER_DATA_CENTRE])),
    services: [
      {
        name: model,
        kind: 'model',
        home: names[0] ?? '',
        upstreams: distributeEvenly(names, replicas),
        weights: { model, version: oldVersion },
      },
    ],
    teams: [{ name: team }],
    versions: [
      {
        model,
        version: oldVersion,
        size: shared ? size : OLD_VERSION_CHUNKS * chunkSize,
        chunkSize,
      },
      {
        model,
        version: newVersion,
        size,
        chunkSize,
        ...(shared ? { sharedWith: { version: oldVersion, share: options.sharedChunks } } : {}),
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
    weightBytesPerSecond: Math.floor(rates.machine * options.weightLinkShare),
    standinProcesses: Math.ceil(replicas / ENGINES_PER_PROCESS) + 1,
  };
}
