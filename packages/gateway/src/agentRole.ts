import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { createUntrackedRequests } from '@burdockrail/limits/untrackedRequests.js';
import { formatAddress } from '@burdockrail/protocol/protocolAddress.js';
import type { UpstreamRecord } from '@burdockrail/protocol/protocolDirectory.js';
import { mergeHandlers } from '@burdockrail/transport/peerHandlers.js';
import { createPeerServer } from '@burdockrail/transport/peerServer.js';
import { createAgentPlaces, type EngineStanding } from './agentPlaces.js';
import { mayServe } from './versionRule.js';
import { createAgentWeights } from './agentWeights.js';
import { createDirectoryWatcher } from './directoryWatcher.js';
import { createHttpCaller } from './engineClient.js';
import { createEngineWatch } from './engineWatch.js';
import { createBeliefs } from './entryBeliefs.js';
import type { GatewayContext, GatewayRole } from './gatewayContext.js';
import type { AgentSettings } from './gatewaySettings.js';

/** Creates the role `agent`: owns the places of one engine and keeps its weights. */
export function createAgentRole(context: GatewayContext, settings: AgentSettings): GatewayRole {
  const { time, dialect, log, metrics } = context;
  const { bounds } = context.settings;
  const owned = createDisposalStack();
  const beliefs = createBeliefs(context, {});
  const engine = owned.use(createHttpCaller(settings.engine, context.settings.host));
  const engineAddress = formatAddress(settings.engine);

  const foreign = createUntrackedRequests();

  const engineRecord = (): UpstreamRecord | undefined =>
    beliefs.directory.entries
      .map(({ record }) => record)
      .filter(({ address }) => address === engineAddress)
      .sort((left, right) => right.startedAt - left.startedAt)[0];

  const versionOf = (model: string): number | null => {
    const now = time.now();
    const report = watch.report(now);
    const held = report?.models.find((known) => known.model === model);
    if (report === null || held === undefined || report.busy) return null;
    const isServed = mayServe(held.version, beliefs.weightsOf(model), bounds, now);
    return isServed ? held.version : null;
  };

  const standing = (): EngineStanding => {
    const record = engineRecord();
    const rules = beliefs.table?.service(settings.service)?.engine ?? null;
    const isReady = record?.state === 'ready';
    return {
      engine: isReady ? record.id : '',
      versionOf,
      rules,
      slots: Math.max(0, (record?.slots ?? rules?.slots ?? 0) - foreign.count),
    };
  };

  const places = owned.use(createAgentPlaces(context, standing));
  const watch = owned.use(
    createEngineWatch({
      engine,
      dialect: dialect.weights,
      time,
      log,
      onReport: (report) => {
        foreign.recordReport(report.running + report.waiting, places.taken);
      },
      onChange: (_report, restarted) => {
        if (!restarted) return;
        places.reset();
        weights.engineRestarted();
      },
    }),
  );
  const weights = owned.use(
    createAgentWeights({
      context,
      agent: settings,
      beliefs,
      engine,
      watch,
      mayServe: () =>
        watch.report(time.now())?.models.some(({ model }) => versionOf(model) !== null) ?? false,
      closeAt: (closing) => {
        places.closeAt(closing);
      },
    }),
  );
  const watcher = owned.use(
    createDirectoryWatcher({
      context,
      body: () => {
        const record = engineRecord();
        const report = watch.report(time.now());
        const isSame = report !== null && report.startedAt === (record?.startedAt ?? 0);
        return {
          role: 'agent',
          caller: formatAddress(settings.internal),
          configurationVersion: beliefs.table?.configuration.version ?? 0,
          crashes: [],
          ...(record === undefined || !isSame
            ? {}
            : { engine: { id: record.id, models: report.models } }),
        };
      },
      onUpdate: (update, askedAt) => {
        beliefs.apply(update, askedAt, time.now());
      },
    }),
  );

  return {
    start: async () => {
      const handlers = mergeHandlers([places.handlers, weights.handlers]);
      owned.use(
        await createPeerServer(settings.internal, context.identity, handlers, context.traffic),
      );
      watch.start();
      watcher.start();
      weights.start();
      metrics.gauge('burdockrail_places_taken', 'Places taken at the engine.', () => places.taken);
      metrics.gauge('burdockrail_places_waiting', 'Claims that wait.', () => places.waiting);
    },
    drain: async () => Promise.resolve(),
    [Symbol.asyncDispose]: async () => owned[Symbol.asyncDispose](),
  };
}
