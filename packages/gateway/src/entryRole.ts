import { once } from 'node:events';
import { createServer } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { createCallerElapsedEstimator } from '@burdockrail/limits/callerElapsedEstimator.js';
import {
  createCrashAttribution,
  type UpstreamLiveness,
} from '@burdockrail/limits/crashAttribution.js';
import { createQuarantineState } from '@burdockrail/limits/quarantineState.js';
import { createSharedRetryBudget } from '@burdockrail/limits/sharedRetryBudget.js';
import type { CrashSighting } from '@burdockrail/protocol/protocolDirectory.js';
import { createDirectoryWatcher } from './directoryWatcher.js';
import { createBeliefs } from './entryBeliefs.js';
import type { EntryContext } from './entryContext.js';
import { createEntryPlaces } from './entryPlaces.js';
import { startEntryServer, type EntryServer } from './entryServer.js';
import { createEntryUpstreams } from './entryUpstreams.js';
import type { GatewayContext, GatewayRole } from './gatewayContext.js';
import type { EntrySettings } from './gatewaySettings.js';
import { createUpstreamConnections } from './upstreamConnections.js';

/** Share of the time for revocation after which a balancer should use other entries. */
const UNREADY_SHARE = 0.5;

/** Time for which new connections still come after the status has changed, in milliseconds. */
const BALANCER_MILLISECONDS = 2_500;

/** Part of the grace time that is left for the end of the process, in milliseconds. */
const EXIT_MARGIN_MILLISECONDS = 600;

/**
 * Time without a request in progress after which a draining entry ends, in milliseconds.
 *
 * A connection that was accepted last may have sent a request that is not read yet.
 */
const QUIET_MILLISECONDS = 300;

/** Interval at which a draining entry looks whether it is idle, in milliseconds. */
const IDLE_CHECK_MILLISECONDS = 50;

/** Upstreams that a content must have ended before it is refused: two may end by chance. */
const CRASHES_TO_QUARANTINE = 3;

/** Interval at which upstreams that have ended are forgotten, in milliseconds. */
const FORGET_MILLISECONDS = 5_000;

/** Creates the role `entry`: takes callers' requests and sends them to upstreams. */
export function createEntryRole(
  context: GatewayContext,
  settings: EntrySettings,
  agentPort: number,
): GatewayRole {
  const { time, dialect, log, metrics } = context;
  const { bounds } = context.settings;
  const owned = createDisposalStack();
  const pendingCrashes: CrashSighting[] = [];
  let draining = false;
  let server: EntryServer | null = null;

  const quarantine = createQuarantineState(CRASHES_TO_QUARANTINE);
  const evidence = createCrashAttribution();
  const learnCrash = ({ content, upstream }: CrashSighting): void => {
    quarantine.recordCrash({ content, agent: upstream, granted: false }, time.now());
  };
  const beliefs = createBeliefs(context, {
    onTable: () => server?.applyLimits(),
    onCrashes: (crashes) => {
      crashes.filter((crash) => evidence.isFirstReport(crash)).forEach(learnCrash);
    },
  });
  const connections = owned.use(createUpstreamConnections(context.settings.host));
  const upstreams = createEntryUpstreams(beliefs);
  const entry: EntryContext = {
    ...context,
    beliefs,
    upstreams,
    connections,
    retries: createSharedRetryBudget(bounds.retries),
    quarantine,
    callerElapsed: createCallerElapsedEstimator(),
    brokeOff: (sighting) => {
      const startedAt = beliefs.directory.get(sighting.upstream)?.record.startedAt ?? 0;
      evidence.recordInterruption(sighting, startedAt, time.now());
    },
    ranWhole: (content) => {
      evidence.recordCompletion(content);
      quarantine.recordCompletion(content);
    },
  };
  const lookForCrashes = (): void => {
    const lifeOf = (upstream: string): UpstreamLiveness | null => {
      const known = beliefs.directory.get(upstream);
      if (known === undefined || known.record.state === 'gone') return null;
      return { startedAt: known.record.startedAt, silent: known.silent };
    };
    for (const crash of evidence.takeConfirmed(lifeOf, time.now())) {
      const { content, upstream } = crash;
      log.write('contentCrashed', { content, upstream });
      if (evidence.isFirstReport(crash)) learnCrash(crash);
      pendingCrashes.push(crash);
    }
  };
  const watcher = owned.use(
    createDirectoryWatcher({
      context,
      body: () => ({
        role: 'entry',
        caller: '',
        configurationVersion: beliefs.table?.configuration.version ?? 0,
        crashes: pendingCrashes.splice(0),
      }),
      onUpdate: (update, askedAt) => {
        beliefs.apply(update, askedAt, time.now());
        lookForCrashes();
      },
    }),
  );

  const isReady = (): boolean => {
    const age = time.now() - beliefs.confirmedAt;
    return (
      !draining && beliefs.table !== null && age < bounds.revocationMilliseconds * UNREADY_SHARE
    );
  };

  const startStatusServer = async (): Promise<void> => {
    const status = createServer((request, response) => {
      request.resume();
      const isStatus = request.url === dialect.statusPath;
      response.writeHead(isStatus ? (isReady() ? 200 : 503) : 404);
      response.end();
    });
    status.listen(settings.status.port, settings.status.host);
    await once(status, 'listening');
    owned.defer(() => {
      status.close();
      status.closeAllConnections();
    });
  };

  return {
    start: async () => {
      watcher.start();
      const started = await startEntryServer(entry, settings, createEntryPlaces(entry, agentPort));
      server = started;
      owned.use(started);
      await startStatusServer();
      metrics.gauge(
        'burdockrail_requests_in_progress',
        'Requests without a final answer.',
        () => started.inProgress,
      );
      metrics.gauge(
        'burdockrail_configuration_version',
        'Version in force.',
        () => beliefs.table?.configuration.version ?? 0,
      );
      metrics.gauge(
        'burdockrail_confirmed_age_seconds',
        'Age of committed knowledge.',
        () => (time.now() - beliefs.confirmedAt) / 1_000,
      );
      const forget = setInterval(() => {
        upstreams.retain();
        connections.retain(new Set(beliefs.directory.entries.map(({ record }) => record.address)));
      }, FORGET_MILLISECONDS);
      owned.defer(() => {
        clearInterval(forget);
      });
      log.write('entryListening', { address: `${settings.listen.host}:${settings.listen.port}` });
    },
    drain: async () => {
      draining = true;
      const startedAt = time.now();
      const age = (): number => time.now() - startedAt;
      server?.startClosing();
      const bound = bounds.graceMilliseconds - EXIT_MARGIN_MILLISECONDS;
      // A balancer that finds too few entries ready keeps sending, so this one has to turn away.
      await pause(Math.min(BALANCER_MILLISECONDS, bound / 2));
      server?.stopListening();
      let busyAt = time.now();
      while (age() < bound && time.now() - busyAt < QUIET_MILLISECONDS) {
        await pause(IDLE_CHECK_MILLISECONDS);
        if ((server?.inProgress ?? 0) > 0) busyAt = time.now();
      }
    },
    [Symbol.asyncDispose]: async () => owned[Symbol.asyncDispose](),
  };
}
