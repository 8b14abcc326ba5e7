import { monotonicClock } from '@burdockrail/common/timeSource.js';
import { createFaultSet, type FaultBase } from './faultSet.js';
import { controlRoutes } from './standinControl.js';
import {
  createStandinServer,
  readJson,
  sendJson,
  type StandinAddress,
  type StandinExchange,
  type StandinServer,
} from './standinServer.js';
import type { WeightCatalogue } from './weightCatalogue.js';
import type { WeightVersion } from './weightContent.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Faults of the weight store. */
export type WeightStoreFault = FaultBase &
  ({ readonly kind: 'error' } | { readonly kind: 'limit' });

/** Counts of the weight store since its start. */
export interface WeightStoreCounts {
  manifestsServed: number;
  refused: number;
}

/** Options of {@link createWeightStoreServer}. */
export interface WeightStoreOptions {
  readonly address: StandinAddress;
  readonly catalogue: WeightCatalogue;
  /** Maximum number of manifest requests per second; unlimited by default. */
  readonly requestsPerSecond?: number;
}

/** Starts a weight store, which serves the manifests of versions. */
export async function createWeightStoreServer(options: WeightStoreOptions): Promise<StandinServer> {
  const faults = createFaultSet<WeightStoreFault>();
  const counts: WeightStoreCounts = { manifestsServed: 0, refused: 0 };
  const limit = options.requestsPerSecond ?? Infinity;
  let windowStart = -Infinity;
  let requestsInWindow = 0;

  const isOverLimit = (): boolean => {
    const now = monotonicClock.now();
    if (now - windowStart >= MILLISECONDS_PER_SECOND) {
      windowStart = now;
      requestsInWindow = 0;
    }
    requestsInWindow += 1;
    return requestsInWindow > limit || faults.consume('limit') !== undefined;
  };

  const serveManifest = ({ response, parameters }: StandinExchange): void => {
    const [model = '', version = ''] = parameters;
    if (isOverLimit()) {
      counts.refused += 1;
      sendJson(response, 429, { error: 'rate-limited' }, { 'retry-after': '1' });
      return;
    }
    if (faults.consume('error') !== undefined) {
      sendJson(response, 500, { error: 'fault' });
      return;
    }
    const content = options.catalogue.find(model, version);
    if (content === undefined) {
      sendJson(response, 404, { error: 'no-such-version' });
      return;
    }
    counts.manifestsServed += 1;
    sendJson(response, 200, content.manifest);
  };

  return createStandinServer(options.address, [
    {
      method: 'GET',
      pattern: /^\/models\/([^/]+)\/versions\/([^/]+)\/manifest$/u,
      handle: serveManifest,
    },
    {
      method: 'POST',
      pattern: /^\/control\/versions$/u,
      handle: async ({ request, response }) => {
        options.catalogue.add((await readJson(request)) as WeightVersion);
        sendJson(response, 200, {});
      },
    },
    ...controlRoutes({ counts: () => counts, faults }),
  ]);
}
