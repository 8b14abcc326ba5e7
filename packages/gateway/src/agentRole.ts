import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { createUntrackedRequests } from '@burdockrail/limits/untrackedRequests.js';
import { formatAddress } from '@burdockrail/protocol/protocolAddress.js';
import type { UpstreamRecord } from '@burdockrail/protocol/protocolDirectory.js';
import { mergeHandlers } from '@burdockrail/transport/peerHandlers.js';
import { createPeerServer } from '@burdockrail/transport/peerServer.js';
import { createAgentSlots, type EngineState } from './agentSlots.js';
import { mayServeVersion } from './versionRule.js';
import { createAgentWeights } from './agentWeights.js';
import { createDirectoryWatcher } from './directoryWatcher.js';
import { createHttpClient } from './httpClient.js';
import { createEngineMonitor } from './engineMonitor.js';
import { createClusterView } from './clusterView.js';
import type { GatewayContext, GatewayRole } from './gatewayContext.js';
import type { AgentSettings } from './gatewaySettings.js';

/** Creates the `agent` role: grants the slots of one engine and keeps its weights up to date. */
export function createAgentRole(context: GatewayContext, settings: AgentSettings): GatewayRole {
  const { time, dialect, log, metrics } = context;
  const { bounds } = context.settings;
  const disposables = createDisposalStack();
  const clusterView = createClusterView(context, {});
  const engineClient = disposables.use(
    createHttpClient(settings.engine, context.settings.localAddress),
  );
  // Read-backs that the engine answers slowly must not hold up its reports and orders.
  const stagingClient = disposables.use(
    createHttpClient(settings.engine, context.settings.localAddress),
  );
  const engineAddress = formatAddress(settings.engine);

  const untrackedRequests = createUntrackedRequests();

  const engineRecord = (): UpstreamRecord | undefined =>
    clusterView.directory.entries
      .map(({ record }) => record)
      .filter(({ address }) => address === engineAddress)
      .sort((left, right) => right.startedAt - left.startedAt)[0];

  const servableVersion = (model: string): number | null => {
    const now = time.now();
    const report = engineMonitor.report(now);
    const heldModel = report?.models.find((held) => held.model === model);
    if (report === null || heldModel === undefined || report.busy) return null;
    if (!weights.isSound(heldModel)) return null;
    const isServed = mayServeVersion(heldModel.version, clusterView.weightsOf(model), bounds, now);
    return isServed ? heldModel.version : null;
  };

  const engineState = (): EngineState => {
    const record = engineRecord();
    const rules = clusterView.table?.service(settings.service)?.engine ?? null;
    const isReady = record?.state === 'ready';
    return {
      engine: isReady ? record.id : '',
      servableVersion,
      rules,
      slots: Math.max(0, (record?.slots ?? rules?.slots ?? 0) - untrackedRequests.count),
    };
  };

  const slots = disposables.use(createAgentSlots(context, engineState));
  const engineMonitor = disposables.use(
    createEngineMonitor({
      engine: engineClient,
      dialect: dialect.weights,
      time,
      log,
      onReport: (report) => {
        untrackedRequests.recordReport(report.running + report.waiting, slots.taken);
      },
      onChange: (_report, restarted) => {
        if (!restarted) return;
        slots.reset();
        weights.engineRestarted();
      },
    }),
  );
  const weights = disposables.use(
    createAgentWeights({
      context,
      agent: settings,
      clusterView,
      engineClient,
      stagingClient,
      engineMonitor,
      engineRecord,
      hasServableWeights: () =>
        engineMonitor
          .report(time.now())
          ?.models.some(({ model }) => servableVersion(model) !== null) ?? false,
      admitOnlyUntil: (endsBy) => {
        slots.admitOnlyUntil(endsBy);
      },
    }),
  );
  const watcher = disposables.use(
    createDirectoryWatcher({
      context,
      buildBody: () => {
        const record = engineRecord();
        const report = engineMonitor.report(time.now());
        const isSameIncarnation = report !== null && report.startedAt === (record?.startedAt ?? 0);
        const loads = report === null ? undefined : weights.verdicts(report);
        return {
          role: 'agent',
          caller: formatAddress(settings.internal),
          configurationVersion: clusterView.table?.configuration.version ?? 0,
          findings: [],
          ...(record === undefined || !isSameIncarnation
            ? {}
            : {
                engine: {
                  id: record.id,
                  models: report.models,
                  ...(loads === undefined ? {} : { loads }),
                },
              }),
        };
      },
      onUpdate: (update, askedAt) => {
        clusterView.apply(update, askedAt, time.now());
      },
    }),
  );

  return {
    start: async () => {
      const handlers = mergeHandlers([slots.handlers, weights.handlers]);
      disposables.use(
        await createPeerServer(
          settings.internal,
          context.identity,
          handlers,
          context.traffic,
          context.shares.peerBounds,
        ),
      );
      engineMonitor.start();
      watcher.start();
      weights.start();
      metrics.gauge('burdockrail_places_taken', 'Places taken at the engine.', () => slots.taken);
      metrics.gauge('burdockrail_places_waiting', 'Claims that wait.', () => slots.waiting);
    },
    drain: async () => Promise.resolve(),
    [Symbol.asyncDispose]: async () => disposables[Symbol.asyncDispose](),
  };
}
