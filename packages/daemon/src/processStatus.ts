import type { ProcessStatus } from '@burdockrail/protocol/protocolConfiguration.js';
import type { PeerHandlers } from '@burdockrail/transport/peerHandlers.js';
import type { DaemonContext, DaemonRole } from './daemonRole.js';

const MICROSECONDS_PER_MILLISECOND = 1_000;

function processStatus(context: DaemonContext, roles: readonly DaemonRole[]): ProcessStatus {
  const usage = process.cpuUsage();
  const committed = context.configuration.current?.committed;
  return {
    name: context.identity.name,
    incarnation: context.identity.incarnation,
    dataCentre: context.identity.dataCentre,
    roles: context.identity.roles,
    revision: committed?.revision ?? 0,
    digest: committed?.digest ?? '',
    groups: roles.flatMap((role) => role.groups),
    residentBytes: process.memoryUsage.rss(),
    processorMilliseconds: (usage.user + usage.system) / MICROSECONDS_PER_MILLISECOND,
    controlBytesSent: context.client.counters.sentBytes,
  };
}

/** Handlers that every process has, whatever its roles. */
export function createProcessStatusHandlers(
  context: DaemonContext,
  roles: readonly DaemonRole[],
): Partial<PeerHandlers> {
  return {
    calls: {
      'process.status': async () => Promise.resolve(processStatus(context, roles)),
    },
  };
}
