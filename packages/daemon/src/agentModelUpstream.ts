import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import type { AgentSettings } from '@burdockrail/settings/settingsSchema.js';
import { createPacer } from '@burdockrail/rollout/rolloutPacer.js';
import type { AgentUpstreamFactory } from './agentUpstream.js';
import { createEngineClient } from './engineClient.js';
import { createEngineMonitor, loadReport } from './engineMonitor.js';
import { createWeightsController } from './weightsController.js';
import { createWeightsOrigin, type WeightsOrigin } from './weightsOrigin.js';
import { createWeightsPeers } from './weightsPeers.js';
import { runRollout, type RolloutParts } from './weightsRollout.js';
import { createChunkStore } from './weightsStore.js';
import { createWeightsUploads } from './weightsUploads.js';

function originOf(settings: AgentSettings, localAddress: string): WeightsOrigin {
  const { weightStore, origin } = settings;
  if (weightStore === undefined || origin === undefined) {
    const detail = 'agent.weightStore and agent.origin: expected for an upstream of kind model';
    throw new ResultError(ResultCode.SettingsInvalid, detail);
  }
  return createWeightsOrigin({ weightStore, origin, localAddress });
}

/** Creates the upstream of an agent that stands before a model engine. */
export const createModelUpstream: AgentUpstreamFactory = (options) => {
  const { context, settings } = options;
  const localAddress = context.settings.listen.host;
  const owned = createDisposalStack();
  const engine = owned.use(createEngineClient(settings.upstream.url, localAddress));
  const origin = owned.use(originOf(settings, localAddress));
  const store = createChunkStore(engine);
  const rate = (): number | undefined => settings.weightBytesPerSecond;
  const parts: RolloutParts = {
    context,
    plan: settings.plan,
    engine,
    store,
    peers: owned.use(createWeightsPeers(context)),
    origin,
    pacer: createPacer(rate),
  };
  const weights = owned.use(
    createWeightsController({
      context,
      service: settings.service,
      engine,
      origin,
      store,
      stage: async (job) => runRollout(parts, job),
      changed: options.changed,
    }),
  );
  const monitor = owned.use(
    createEngineMonitor(engine, (view) => {
      weights.engineReports(view.load === null ? undefined : view.load.digest);
    }),
  );

  return {
    handlers: createWeightsUploads(store, createPacer(rate), context.time),
    get presence() {
      const { served, rollout } = weights;
      const { load, prefixes } = monitor.view;
      return {
        ready: served !== null && load !== null,
        prefixes,
        ...(served === null ? {} : { serving: served }),
        ...(load === null ? {} : { load: loadReport(load) }),
        ...(rollout === null ? {} : { rollout }),
      };
    },
    get servedDigest() {
      return weights.served?.digest;
    },
    allowsDigest: weights.allows,
    start: async () => {
      await monitor.start();
      weights.start();
    },
    [Symbol.asyncDispose]: async () => owned[Symbol.asyncDispose](),
  };
};
