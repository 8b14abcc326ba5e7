import { ResultCode } from '@burdockrail/common/resultCode.js';
import { ResultError } from '@burdockrail/common/outcome.js';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import type { AgentSettings } from '@burdockrail/settings/settingsSchema.js';
import { createPacer } from '@burdockrail/rollout/rolloutPacer.js';
import { mergeHandlers } from '@burdockrail/transport/peerHandlers.js';
import type { AgentUpstreamFactory } from './agentUpstream.js';
import { createEngineClient } from './engineClient.js';
import { createEngineMonitor, toLoadReport } from './engineMonitor.js';
import { createWeightsLoader } from './weightsLoader.js';
import { createWeightsController } from './weightsController.js';
import { createWeightsOrders } from './weightsOrders.js';
import { createWeightsOrigin, type WeightsOrigin } from './weightsOrigin.js';
import { createWeightsPeers } from './weightsPeers.js';
import type { RolloutDependencies } from './weightsFetch.js';
import { runRollout } from './weightsRollout.js';
import { createWeightsServing } from './weightsServing.js';
import { createChunkStore } from './weightsStore.js';
import { createWeightsTurns } from './weightsTurn.js';
import { createWeightsUploads } from './weightsUploads.js';

function createOrigin(settings: AgentSettings, localAddress: string): WeightsOrigin {
  const { weightStore, origin } = settings;
  if (weightStore === undefined || origin === undefined) {
    const detail = 'agent.weightStore and agent.origin: required for an upstream of kind model';
    throw new ResultError(ResultCode.SettingsInvalid, detail);
  }
  return createWeightsOrigin({ weightStore, origin, localAddress });
}

/** Share of the weight transfer rate that may be used while attempts are in progress. */
const RATE_SHARE_WHILE_SERVING = 0.85;

/** Weight transfer rate in each direction, in bytes per second; undefined if unlimited. */
function weightTransferRate(settings: AgentSettings, runningAttempts: number): number | undefined {
  const rate = settings.weightBytesPerSecond;
  if (rate === undefined || runningAttempts === 0) return rate;
  return rate * RATE_SHARE_WHILE_SERVING;
}

/** Creates the upstream of an agent for a model engine. */
export const createModelUpstream: AgentUpstreamFactory = (options) => {
  const { context, settings } = options;
  const localAddress = context.settings.listen.host;
  const disposables = createDisposalStack();
  const engine = disposables.use(createEngineClient(settings.upstream.url, localAddress));
  const origin = disposables.use(createOrigin(settings, localAddress));
  const store = createChunkStore(engine);
  const rate = (): number | undefined => weightTransferRate(settings, options.gate.activeCount);
  const rollout: RolloutDependencies = {
    context,
    plan: settings.plan,
    engine,
    store,
    peers: disposables.use(createWeightsPeers(context)),
    origin,
    pacer: createPacer(rate),
  };
  const serving = createWeightsServing(options.onChanged);
  const { service } = settings;
  const orders = createWeightsOrders(context, service, engine);
  const turns = createWeightsTurns(context, service);
  const loader = createWeightsLoader({
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
  const weights = disposables.use(
    createWeightsController({ context, service, loader, orders, serving }),
  );
  const monitor = disposables.use(
    createEngineMonitor(engine, (report) => {
      weights.handleEngineReport(report.load === null ? undefined : report.load.digest);
    }),
  );

  const uploads = createWeightsUploads(store, createPacer(rate), context.time);

  return {
    handlers: mergeHandlers([uploads, turns.handlers]),
    get announcement() {
      const { served, rollout, isSwitching } = serving;
      const { load, prefixes } = monitor.latest;
      return {
        ready: served !== null && load !== null && !isSwitching,
        prefixes,
        ...(served === null ? {} : { serving: served }),
        ...(load === null ? {} : { load: toLoadReport(load) }),
        ...(rollout === null ? {} : { rollout }),
      };
    },
    get restarts() {
      return monitor.restarts;
    },
    get servedDigest() {
      return serving.served?.digest;
    },
    allowsDigest: serving.allows,
    start: async () => {
      await monitor.start();
      weights.start();
    },
    [Symbol.asyncDispose]: async () => disposables[Symbol.asyncDispose](),
  };
};
