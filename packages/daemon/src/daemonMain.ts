import { randomBytes } from 'node:crypto';
import { toResultError } from '@burdockrail/common/outcome.js';
import { ResultCode, resultName } from '@burdockrail/common/resultCode.js';
import { createSeededRandom } from '@burdockrail/common/seededRandom.js';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { monotonicClock } from '@burdockrail/common/timeSource.js';
import type { PeerIdentity, Role } from '@burdockrail/protocol/protocolAddress.js';
import { settingsDefaultsYaml } from '@burdockrail/settings/settingsDefaults.js';
import { createLedgerState } from '@burdockrail/ledger/ledgerState.js';
import { readSettings } from '@burdockrail/settings/settingsFile.js';
import type { Settings } from '@burdockrail/settings/settingsSchema.js';
import { createEventLog, type EventLog } from '@burdockrail/telemetry/eventLog.js';
import { createPeerClient } from '@burdockrail/transport/peerClient.js';
import { mergeHandlers } from '@burdockrail/transport/peerHandlers.js';
import { createPeerServer } from '@burdockrail/transport/peerServer.js';
import { createTrafficMeter } from '@burdockrail/transport/trafficMeter.js';
import { start, stop } from 'nact';
import type { AnyReplicatedState } from '@burdockrail/agreement/replicaState.js';
import { createConfigurationHolder } from './configurationHolder.js';
import { createConfigurationSource, offerReplicaConfiguration } from './configurationSource.js';
import { drainRoles } from './daemonDrain.js';
import { daemonRoles } from './daemonRoles.js';
import type { DaemonContext, DaemonRole } from './daemonRole.js';
import { createGroupHosts } from './groupHosts.js';
import { createProcessStatusHandlers } from './processStatus.js';

const USAGE = 'usage: burdockraild SETTINGS | --check-settings SETTINGS | --print-defaults\n';

/** Number of random bytes in a process's incarnation. */
const INCARNATION_BYTES = 8;

/** Number of random bytes in the seed of the random number generator. */
const SEED_BYTES = 4;

function rolesOf(settings: Settings): readonly Role[] {
  const roles: readonly Role[] = ['entry', 'control', 'agent'];
  return roles.filter((role) => settings[role] !== undefined);
}

function identityOf(settings: Settings): PeerIdentity {
  return {
    name: settings.name,
    incarnation: randomBytes(INCARNATION_BYTES).toString('hex'),
    dataCentre: settings.dataCentre,
    roles: rolesOf(settings),
  };
}

function createContext(settings: Settings, log: EventLog): DaemonContext {
  const identity = identityOf(settings);
  const traffic = createTrafficMeter();
  return {
    settings,
    identity,
    advertised: settings.advertise ?? settings.listen,
    client: createPeerClient({ identity, localHost: settings.listen.host, meter: traffic }),
    traffic,
    time: monotonicClock,
    random: createSeededRandom(randomBytes(SEED_BYTES).readInt32BE(0)),
    log,
    actors: start(),
    configuration: createConfigurationHolder(log),
  };
}

async function awaitSignal(): Promise<string> {
  return new Promise((resolve) => {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.once(signal, () => {
        resolve(signal);
      });
    }
  });
}

/** Reads the settings again on SIGHUP, which would end the process otherwise; a start applies them. */
function handleReloadSignal(path: string, log: EventLog): void {
  process.on('SIGHUP', () => {
    void readSettings(path).then(({ kind }) => {
      log.write('settingsReloaded', { readable: kind === 'success' });
    });
  });
}

async function serve(settings: Settings, log: EventLog): Promise<void> {
  const context = createContext(settings, log);
  await using client = context.client;
  await using disposables = createDisposalStack();
  const roles: DaemonRole[] = [];
  const groups = disposables.use(
    createGroupHosts({
      context,
      createLedgerState: () => createLedgerState() as AnyReplicatedState,
      onFleetApplied: () => {
        offerReplicaConfiguration(context, groups);
      },
    }),
  );
  const source = disposables.use(createConfigurationSource(context, groups));
  for (const role of context.identity.roles)
    roles.push(disposables.use(daemonRoles[role](context)));
  const status = createProcessStatusHandlers(context, [groups, ...roles]);
  const processHandlers = [status, groups.handlers, source.handlers];
  const handlers = mergeHandlers([...processHandlers, ...roles.map((role) => role.handlers)]);
  await using server = await createPeerServer(
    settings.listen,
    context.identity,
    handlers,
    context.traffic,
  );
  await groups.start();
  source.start();
  await Promise.all(roles.map((role) => role.start()));
  context.log.write('processStarted', {
    incarnation: context.identity.incarnation,
    address: `${server.address.host}:${server.address.port}`,
    roles: context.identity.roles.join(','),
    connections: client.counters.sentBytes,
  });
  const signal = await awaitSignal();
  context.log.write('processStopping', { signal });
  await drainRoles(roles, settings.drainMilliseconds, context.log);
  stop(context.actors);
}

function settingsPath(commandLine: readonly string[]): string | undefined {
  const paths = commandLine[0] === '--check-settings' ? commandLine.slice(1) : commandLine;
  return paths.length === 1 && !paths[0]?.startsWith('-') ? paths[0] : undefined;
}

/**
 * Runs the daemon.
 *
 * @param commandLine - command line arguments.
 *
 * @returns the exit code of the process.
 */
export async function runDaemon(commandLine: readonly string[]): Promise<number> {
  if (commandLine[0] === '--print-defaults') {
    process.stdout.write(settingsDefaultsYaml());
    return 0;
  }
  const path = settingsPath(commandLine);
  if (path === undefined) {
    process.stderr.write(USAGE);
    return 2;
  }
  const settings = await readSettings(path);
  if (settings.kind === 'failure') {
    process.stderr.write(`${settings.code} ${resultName(settings.code)}: ${settings.detail}\n`);
    return 2;
  }
  if (commandLine[0] === '--check-settings') {
    process.stdout.write(`valid: ${settings.value.name}, ${rolesOf(settings.value).join(', ')}\n`);
    return 0;
  }
  const log = createEventLog({ process: settings.value.name, ...settings.value.log });
  handleReloadSignal(path, log);
  try {
    await serve(settings.value, log);
    log.write('processStopped');
    return 0;
  } catch (error) {
    const { code, message } = toResultError(error, ResultCode.InternalError);
    log.write('processFailed', { code, result: resultName(code), reason: message });
    return 1;
  }
}
