import { setTimeout as pause } from 'node:timers/promises';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { createByteBudget } from '@burdockrail/common/byteBudget.js';
import { createClientServer } from '@burdockrail/ingress/clientServer.js';
import { createCallerElapsedEstimator } from '@burdockrail/limits/callerElapsedEstimator.js';
import { createSharedRetryBudget } from '@burdockrail/limits/sharedRetryBudget.js';
import { createDirectoryWatcher } from './directoryWatcher.js';
import { createClusterView } from './clusterView.js';
import type { EntryContext } from './entryContext.js';
import { createEntryQuarantine } from './entryQuarantine.js';
import { retryBudgetFamilies } from './retryMetrics.js';
import { createEntrySlots } from './entrySlots.js';
import { startEntryServer, type EntryServer } from './entryServer.js';
import { createEntryUpstreams } from './entryUpstreams.js';
import type { GatewayContext, GatewayRole } from './gatewayContext.js';
import type { EntrySettings } from './gatewaySettings.js';
import { createUpstreamConnections } from './upstreamConnections.js';
import { createUpstreamDepartures } from './upstreamDepartures.js';
import { createUpstreamLimits } from './upstreamLimits.js';
import { createUpstreamRests } from './upstreamRests.js';

/** Fraction of the revocation time after which an unconfirmed entry reports not ready. */
const UNREADY_AGE_FRACTION = 0.5;

/** Time in which balancers notice a changed status, in milliseconds; they connect until then. */
const BALANCER_UPDATE_MILLISECONDS = 2_500;

/** Part of the grace period that is reserved for process exit, in milliseconds. */
const EXIT_MARGIN_MILLISECONDS = 600;

/**
 * Time without a request in progress after which draining is complete, in milliseconds.
 *
 * A connection accepted last may carry a request that has not been read yet.
 */
const DRAIN_IDLE_MILLISECONDS = 300;

/** Interval at which a draining entry checks whether it is idle, in milliseconds. */
const IDLE_CHECK_INTERVAL_MILLISECONDS = 50;

/** Memory for all answers that are buffered at the same time, in bytes; a process has some 200 MB. */
const MAXIMUM_ANSWER_MEMORY_BYTES = 48 * 1024 * 1024;

/** Interval at which the state of removed upstreams is discarded, in milliseconds. */
const CLEANUP_INTERVAL_MILLISECONDS = 5_000;

/** Creates the `entry` role, which accepts callers' requests and forwards them to upstreams. */
export function createEntryRole(
  context: GatewayContext,
  settings: EntrySettings,
  agentPort: number,
): GatewayRole {
  const { time, dialect, log, metrics } = context;
  const { bounds } = context.settings;
  const disposables = createDisposalStack();
  let draining = false;
  let server: EntryServer | null = null;

  const quarantine = createEntryQuarantine(context, () => clusterView);
  const clusterView = createClusterView(context, {
    onConfiguration: () => server?.applyLimits(),
  });
  const connections = disposables.use(createUpstreamConnections(context.settings.localAddress));
  const departures = createUpstreamDepartures(context, clusterView.directory);
  const upstreams = createEntryUpstreams(clusterView, departures);
  const limits = createUpstreamLimits(context);
  const rests = createUpstreamRests(context, clusterView);
  const entry: EntryContext = {
    ...context,
    clusterView,
    upstreams,
    connections,
    limits,
    departures,
    rests,
    retryBudget: createSharedRetryBudget(bounds.retries),
    quarantine,
    answerMemory: createByteBudget(MAXIMUM_ANSWER_MEMORY_BYTES),
    callerElapsed: createCallerElapsedEstimator(),
  };
  const watcher = disposables.use(
    createDirectoryWatcher({
      context,
      buildBody: () => ({
        role: 'entry',
        caller: '',
        configurationVersion: clusterView.table?.configuration.version ?? 0,
        findings: quarantine.takeFindings(),
      }),
      onUpdate: (update, askedAt) => {
        const now = time.now();
        clusterView.apply(update, askedAt, now);
        departures.directoryChanged();
        entry.retryBudget.recordShares(update.entryShares, update.control, askedAt);
        server?.notifyClusterChange();
        quarantine.applyFindings(update.findings, update.control, now);
        quarantine.detectCrashes(now);
      },
    }),
  );

  const isReady = (): boolean => {
    const ageMilliseconds = time.now() - clusterView.confirmedAt;
    return (
      !draining &&
      clusterView.table !== null &&
      ageMilliseconds < bounds.revocationMilliseconds * UNREADY_AGE_FRACTION
    );
  };

  const startStatusServer = async (): Promise<void> => {
    const { server: statusServer, listen } = createClientServer({
      maximumConnections: context.shares.maximumConnections('status'),
      guard: context.shares.guard,
      time,
      metrics,
      handle: ({ request, response, endsInput }) => {
        const isStatus = request.url === dialect.statusPath;
        const headers = endsInput() ? { connection: 'close' } : {};
        response.writeHead(isStatus ? (isReady() ? 200 : 503) : 404, headers);
        response.end();
      },
    });
    await listen(settings.status);
    disposables.defer(() => {
      statusServer.close();
      statusServer.closeAllConnections();
    });
  };

  return {
    start: async () => {
      watcher.start();
      const entryServer = await startEntryServer(
        entry,
        settings,
        createEntrySlots(entry, agentPort),
      );
      server = entryServer;
      disposables.use(entryServer);
      await startStatusServer();
      metrics.gauge(
        'burdockrail_requests_in_progress',
        'Requests whose answer has not been written completely.',
        () => entryServer.inProgress,
      );
      metrics.gauge(
        'burdockrail_configuration_version',
        'Version in force.',
        () => clusterView.table?.configuration.version ?? 0,
      );
      metrics.gauge(
        'burdockrail_confirmed_age_seconds',
        'Age of committed knowledge.',
        () => (time.now() - clusterView.confirmedAt) / 1_000,
      );
      metrics.registerFamilies(() => retryBudgetFamilies(entry));
      const cleanupTimer = setInterval(() => {
        upstreams.retain();
        limits.retain(new Set(clusterView.directory.entries.map(({ record }) => record.id)));
        rests.discardEnded(time.now());
        connections.retain(
          new Set(clusterView.directory.entries.map(({ record }) => record.address)),
        );
      }, CLEANUP_INTERVAL_MILLISECONDS);
      disposables.defer(() => {
        clearInterval(cleanupTimer);
      });
      log.write('entryListening', { address: `${settings.listen.host}:${settings.listen.port}` });
    },
    drain: async () => {
      draining = true;
      const startedAt = time.now();
      const elapsedMilliseconds = (): number => time.now() - startedAt;
      const timeoutMilliseconds = bounds.graceMilliseconds - EXIT_MARGIN_MILLISECONDS;
      server?.announceShutdown(startedAt + timeoutMilliseconds);
      // A balancer that finds too few entries ready keeps sending, so this one must stop listening.
      await pause(Math.min(BALANCER_UPDATE_MILLISECONDS, timeoutMilliseconds / 2));
      server?.stopListening();
      let lastBusyAt = time.now();
      while (
        elapsedMilliseconds() < timeoutMilliseconds &&
        time.now() - lastBusyAt < DRAIN_IDLE_MILLISECONDS
      ) {
        await pause(IDLE_CHECK_INTERVAL_MILLISECONDS);
        if ((server?.inProgress ?? 0) > 0) lastBusyAt = time.now();
      }
    },
    [Symbol.asyncDispose]: async () => disposables[Symbol.asyncDispose](),
  };
}
