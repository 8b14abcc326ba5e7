import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import type { AgentSettings } from '@burdockrail/settings/settingsSchema.js';
import { createPacer } from '@burdockrail/rollout/rolloutPacer.js';
import { mergeHandlers } from '@burdockrail/transport/peerHandlers.js';
import type { AgentUpstreamFactory } from './agentUpstream.js';
import { createEngineClient } from './engineClient.js';
import { createEngineMonitor, loadReport } from './engineMonitor.js';
import { createWeightsBringUp } from './weightsBringUp.js';
import { createWeightsController } from './weightsController.js';
import { createWeightsOrders } from './weightsOrders.js';
import { createWeightsOrigin, type WeightsOrigin } from './weightsOrigin.js';
import { createWeightsPeers } from './weightsPeers.js';
import type { RolloutParts } from './weightsFetch.js';
import { runRollout } from './weightsRollout.js';
import { createWeightsServing } from './weightsServing.js';
import { createChunkStore } from './weightsStore.js';
import { createWeightsTurns } from './weightsTurn.js';
import { createWeightsUploads } from './weightsUploads.js';

function originOf(settings: AgentSettings, localAddress: string): WeightsOrigin {
  const { weightStore, origin } = settings;
  if (weightStore === undefined || origin === undefined) {
    const detail = 'agent.weightStore and agent.origin: expected for an upstream of kind model';
    throw new ResultError(ResultCode.SettingsInvalid, detail);
  }
  return createWeightsOrigin({ weightStore, origin, localAddress });
}

/** Share of the rate for weights that is used while requests run. */
const SHARE_BESIDE_REQUESTS = 0.85;

/** Rate of weight traffic in each direction; undefined for no bound. */
function weightRate(settings: AgentSettings, runningAttempts: number): number | undefined {
  const rate = settings.weightBytesPerSecond;
  if (rate === undefined || runningAttempts === 0) return rate;
  return rate * SHARE_BESIDE_REQUESTS;
}

/** Creates the upstream of an agent that stands before a model engine. */
export const createModelUpstream: AgentUpstreamFactory = (options) => {
  const { context, settings } = options;
  const localAddress = context.settings.listen.host;
  const owned = createDisposalStack();
  const engine = owned.use(createEngineClient(settings.upstream.url, localAddress));
  const origin = owned.use(originOf(settings, localAddress));
  const store = createChunkStore(engine);
  const rate = (): number | undefined => weightRate(settings, options.gate.inside);
  const rollout: RolloutParts = {
    context,
    plan: settings.plan,
    engine,
    store,
    peers: owned.use(createWeightsPeers(context)),
    origin,
    pacer: createPacer(rate),
  };
  const serving = createWeightsServing(options.changed);
  const { service } = settings;
  const orders = createWeightsOrders(context, service, engine);
  const turns = createWeightsTurns(context, service);
  const bringUp = createWeightsBringUp({
    context,
    engine,
    origin,
    store,
    stage: async (job) => runRollout(rollout, job),
    orders,
    serving,
    gate: options.gate,
    turns,
  });
  const weights = owned.use(
    createWeightsController({ context, service, bringUp, orders, serving }),
  );
  const monitor = owned.use(
    createEngineMonitor(engine, (view) => {
      weights.engineReports(view.load === null ? undefined : view.load.digest);
    }),
  );

  const uploads = createWeightsUploads(store, createPacer(rate), context.time);

  return {
    handlers: mergeHandlers([uploads, turns.handlers]),
    get presence() {
      const { served, rollout, isSwitching } = serving;
      const { load, prefixes } = monitor.view;
      return {
        ready: served !== null && load !== null && !isSwitching,
        prefixes,
        ...(served === null ? {} : { serving: served }),
        ...(load === null ? {} : { load: loadReport(load) }),
        ...(rollout === null ? {} : { rollout }),
      };
    },
    get servedDigest() {
      return serving.served?.digest;
    },
    allowsDigest: serving.allows,
    start: async () => {
      await monitor.start();
      weights.start();
    },
    [Symbol.asyncDispose]: async () => owned[Symbol.asyncDispose](),
  };
};
