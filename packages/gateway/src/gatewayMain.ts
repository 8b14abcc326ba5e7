import { randomBytes } from 'node:crypto';
import { once } from 'node:events';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { createSeededRandom } from '@burdockrail/common/seededRandom.js';
import { receiveStopSignal } from '@burdockrail/common/stopSignal.js';
import { createClientServer } from '@burdockrail/ingress/clientServer.js';
import type { PeerIdentity, Role } from '@burdockrail/protocol/protocolAddress.js';
import { createBoundedLineWriter } from '@burdockrail/telemetry/boundedLineWriter.js';
import { createEventLog } from '@burdockrail/telemetry/eventLog.js';
import { createMetricRegistry } from '@burdockrail/telemetry/metricRegistry.js';
import { createTrafficMeter } from '@burdockrail/transport/trafficMeter.js';
import { createPeerClient } from '@burdockrail/transport/peerClient.js';
import { start as startActors, stop as stopActors } from 'nact';
import { createAgentRole } from './agentRole.js';
import { createControlRole } from './controlRole.js';
import type { Dialect } from './dialect.js';
import { createEntryRole } from './entryRole.js';
import type { GatewayContext, GatewayRole } from './gatewayContext.js';
import type { GatewaySettings } from './gatewaySettings.js';
import { createMachineShares } from './machineShares.js';
import { createSuspendClock } from './suspendClock.js';

/** Random bytes in the incarnation id of a process. */
const INCARNATION_BYTES = 8;

const RANDOM_SEED_BYTES = 4;
const STANDARD_OUTPUT_DESCRIPTOR = 1;

/** Interval of the `processVitals` log lines, in milliseconds. */
const VITALS_INTERVAL_MILLISECONDS = 10_000;

const MICROSECONDS_PER_MILLISECOND = 1_000;
const BYTES_PER_MEGABYTE = 1_000_000;

const METRICS_PATH = '/metrics';

/** Options of {@link runGateway}. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly dialect: Dialect;
  /** Port on which every agent of the deployment listens for other processes. */
  readonly agentPort: number;
  /** Rereads the settings file; `null` when it cannot be read. */
  readonly reloadSettings: () => GatewaySettings | null;
}

function configuredRoles(settings: GatewaySettings): readonly Role[] {
  const roles: readonly Role[] = ['entry', 'control', 'agent'];
  return roles.filter((role) => settings[role] !== null);
}

function createRoles(context: GatewayContext, agentPort: number): readonly GatewayRole[] {
  const { entry, control, agent } = context.settings;
  return [
    ...(control === null ? [] : [createControlRole(context, control)]),
    ...(agent === null ? [] : [createAgentRole(context, agent)]),
    ...(entry === null ? [] : [createEntryRole(context, entry, agentPort)]),
  ];
}

async function startMetricsServer({
  settings,
  shares,
  time,
  metrics,
}: GatewayContext): Promise<AsyncDisposable> {
  const { server, listen } = createClientServer({
    maximumConnections: shares.maximumConnections('metrics'),
    guard: shares.guard,
    time,
    metrics,
    handle: ({ request, response, hasMemory, endsInput, answerHeld }) => {
      const isMetrics = request.url === METRICS_PATH && hasMemory;
      const text = isMetrics ? metrics.text() : '';
      const status = hasMemory ? (isMetrics ? 200 : 404) : 503;
      response.writeHead(status, {
        'content-type': 'text/plain; version=0.0.4',
        ...(endsInput() ? { connection: 'close' } : {}),
      });
      answerHeld(text.length);
      response.end(text);
    },
  });
  await listen(settings.metrics);
  return {
    [Symbol.asyncDispose]: async () => {
      const closed = once(server, 'close');
      server.close();
      server.closeAllConnections();
      await closed;
    },
  };
}

/** Runs a gateway process until a stop signal; resolves with the exit code. */
export async function runGateway(options: GatewayOptions): Promise<number> {
  const { settings, dialect, agentPort } = options;
  const outputLines = createBoundedLineWriter(STANDARD_OUTPUT_DESCRIPTOR);
  const log = createEventLog({
    process: settings.name,
    format: 'json',
    level: 'info',
    write: outputLines.line,
  });
  const metrics = createMetricRegistry();
  metrics.gauge('burdockrail_log_lines_dropped', 'Log lines left out.', () => outputLines.dropped);
  const traffic = createTrafficMeter();
  metrics.registerFamilies(() => [
    {
      name: 'burdockrail_sent_bytes_total',
      help: 'Bytes sent to other processes of the system by family of message.',
      type: 'counter',
      samples: Object.entries(traffic.sentByFamily).map(([family, value]) => ({
        name: 'burdockrail_sent_bytes_total',
        labels: { family },
        value,
      })),
    },
  ]);
  const identity: PeerIdentity = {
    name: settings.name,
    incarnation: randomBytes(INCARNATION_BYTES).toString('hex'),
    dataCentre: settings.dataCentre,
    roles: configuredRoles(settings),
  };
  const time = createSuspendClock();
  const context: GatewayContext = {
    settings,
    identity,
    client: createPeerClient({ identity, localHost: settings.localAddress, meter: traffic }),
    traffic,
    time,
    random: createSeededRandom(randomBytes(RANDOM_SEED_BYTES).readInt32BE(0)),
    log,
    metrics,
    actors: startActors(),
    dialect,
    shares: createMachineShares(settings.machine, time),
    readSeeds: () => options.reloadSettings()?.seeds ?? null,
  };
  metrics.gauge(
    'burdockrail_client_memory_bytes',
    'Memory reserved for what clients have sent and not yet read.',
    () => context.shares.guard.memory.heldBytes,
  );
  const stopSignal = receiveStopSignal(process, () => {
    const reloaded = options.reloadSettings();
    log.write('settingsReloaded', { readable: reloaded !== null });
  });
  try {
    await using disposables = createDisposalStack();
    disposables.use(context.client);
    disposables.use(await startMetricsServer(context));
    const roles = createRoles(context, agentPort).map((role) => disposables.use(role));
    for (const role of roles) await role.start();
    log.write('processStarted', {
      incarnation: identity.incarnation,
      roles: identity.roles.join(','),
      dataCentre: settings.dataCentre,
      seeds: settings.seeds.map(({ host, port }) => `${host}:${port}`).join(','),
      firstStart: settings.firstStart,
      startMilliseconds: Math.round(performance.now()),
      residentMegabytes: Math.round(process.memoryUsage.rss() / BYTES_PER_MEGABYTE),
    });
    const vitalsTimer = setInterval(() => {
      const { user, system } = process.cpuUsage();
      log.write('processVitals', {
        processorMilliseconds: Math.round((user + system) / MICROSECONDS_PER_MILLISECOND),
        residentMegabytes: Math.round(process.memoryUsage.rss() / BYTES_PER_MEGABYTE),
        sentBytes: JSON.stringify(traffic.sentByFamily),
        linesDropped: outputLines.dropped,
      });
    }, VITALS_INTERVAL_MILLISECONDS);
    disposables.defer(() => {
      clearInterval(vitalsTimer);
    });
    log.write('processStopping', { signal: await stopSignal });
    await Promise.all(roles.map(async (role) => role.drain()));
  } catch (error) {
    log.write('processFailed', { reason: error instanceof Error ? error.message : String(error) });
    outputLines.flush();
    return 1;
  } finally {
    stopActors(context.actors);
  }
  log.write('processStopped');
  outputLines.flush();
  return 0;
}
