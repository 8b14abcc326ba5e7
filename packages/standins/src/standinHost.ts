import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { createEngineServer, type EngineOptions } from './engineServer.js';
import { createOriginServer, type OriginOptions } from './originServer.js';
import { createPlainServer, type PlainOptions } from './plainServer.js';
import type { StandinServer } from './standinServer.js';
import { createWeightCatalogue } from './weightCatalogue.js';
import type { WeightVersion } from './weightContent.js';
import { createWeightStoreServer, type WeightStoreOptions } from './weightStoreServer.js';

/** Description of one stand-in. */
export type StandinDescription =
  | ({ readonly kind: 'engine'; readonly name: string } & EngineOptions)
  | ({ readonly kind: 'plain'; readonly name: string } & PlainOptions)
  | ({ readonly kind: 'store'; readonly name: string } & Omit<WeightStoreOptions, 'catalogue'>)
  | ({ readonly kind: 'origin'; readonly name: string } & Omit<OriginOptions, 'catalogue'>);

/** Description of the stand-ins of one process. */
export interface StandinHostDescription {
  readonly versions: readonly WeightVersion[];
  readonly standins: readonly StandinDescription[];
}

/** Running stand-ins of this process. */
export interface StandinHost extends AsyncDisposable {
  /** URL of each stand-in by its name. */
  readonly urls: Readonly<Record<string, string>>;
}

/** Starts all described stand-ins in this process; store and origin share one catalogue. */
export async function createStandinHost(description: StandinHostDescription): Promise<StandinHost> {
  const disposals = createDisposalStack();
  const catalogue = createWeightCatalogue(description.versions);
  const start = async (standin: StandinDescription): Promise<StandinServer> => {
    switch (standin.kind) {
      case 'engine':
        return createEngineServer(standin);
      case 'plain':
        return createPlainServer(standin);
      case 'store':
        return createWeightStoreServer({ ...standin, catalogue });
      case 'origin':
        return createOriginServer({ ...standin, catalogue });
    }
  };
  const started = description.standins.map(async (standin) => {
    const server = disposals.use(await start(standin));
    return [standin.name, server.url] as const;
  });
  const urls = Object.fromEntries(await Promise.all(started));
  return { urls, [Symbol.asyncDispose]: async () => disposals[Symbol.asyncDispose]() };
}
