import { monotonicClock } from '@burdockrail/common/timeSource.js';
import { createEngineAdmin } from './engineAdmin.js';
import { createEngineCompletions } from './engineCompletions.js';
import { defaultEngineSettings, type EngineSettings } from './engineSettings.js';
import { createEngineState, type EngineState } from './engineState.js';
import { controlRoutes } from './standinControl.js';
import {
  createStandinServer,
  sendJson,
  type StandinAddress,
  type StandinRoute,
  type StandinServer,
} from './standinServer.js';

/** Default time for which a crashed engine refuses connections, in milliseconds. */
const DEFAULT_DOWN_MILLISECONDS = 300;

/** Options of {@link createEngineServer}. */
export interface EngineOptions {
  readonly address: StandinAddress;
  readonly settings?: Partial<EngineSettings>;
}

function statusRoutes(state: EngineState): readonly StandinRoute[] {
  return [
    {
      method: 'GET',
      pattern: /^\/load$/u,
      handle: ({ response }) => {
        const { running, waiting, cacheUse } = state.reportedLoad();
        const { digest, adapters } = state.weights;
        const { capacity } = state.settings;
        sendJson(response, 200, { running, waiting, capacity, cacheUse, digest, adapters });
      },
    },
    {
      method: 'GET',
      pattern: /^\/events$/u,
      handle: ({ response, url }) => {
        const since = Number(url.searchParams.get('since') ?? 0);
        const isSilent = state.faults.consume('events-silent') !== undefined;
        const page = state.cache.eventsSince(since, monotonicClock.now());
        sendJson(response, 200, isSilent ? { next: since, events: [] } : page);
      },
    },
  ];
}

function engineReport(state: EngineState): object {
  const { running, waiting } = state.batch;
  return { ...state.counts, digest: state.weights.digest, running, waiting };
}

/** Starts an engine without weights. */
export async function createEngineServer(options: EngineOptions): Promise<StandinServer> {
  const state = createEngineState({ ...defaultEngineSettings, ...options.settings });
  const crash = async (downMilliseconds = DEFAULT_DOWN_MILLISECONDS): Promise<void> => {
    state.counts.crashes += 1;
    state.reset();
    await server.crash(downMilliseconds);
  };
  const completions = createEngineCompletions(state, crash);
  const admin = createEngineAdmin(state);
  const chunkPattern = /^\/admin\/weights\/([0-9a-f]+)\/chunks\/(\d+)$/u;
  const server = await createStandinServer(options.address, [
    { method: 'POST', pattern: /^\/v1\/(?:chat\/)?completions$/u, handle: completions.complete },
    { method: 'GET', pattern: /^\/v1\/streams\/([^/]+)$/u, handle: completions.resume },
    { method: 'DELETE', pattern: /^\/v1\/streams\/([^/]+)$/u, handle: completions.cancel },
    { method: 'PUT', pattern: chunkPattern, handle: admin.putChunk },
    { method: 'GET', pattern: chunkPattern, handle: admin.getChunk },
    {
      method: 'DELETE',
      pattern: /^\/admin\/weights\/([0-9a-f]+)$/u,
      handle: admin.deleteWeights,
    },
    { method: 'POST', pattern: /^\/admin\/orders$/u, handle: admin.order },
    ...statusRoutes(state),
    ...controlRoutes({ counts: () => engineReport(state), faults: state.faults, crash }),
  ]);
  return {
    url: server.url,
    crash,
    [Symbol.asyncDispose]: async () => {
      state.reset();
      await server[Symbol.asyncDispose]();
    },
  };
}
