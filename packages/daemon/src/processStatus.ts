import type { ProcessStatus } from '@burdockrail/protocol/protocolConfiguration.js';
import type { PeerHandlers } from '@burdockrail/transport/peerHandlers.js';
import type { DaemonContext, DaemonRole } from './daemonRole.js';

const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Message families that carry requests and weights; all others count as control traffic. */
const dataFamilies: ReadonlySet<string> = new Set(['attempt', 'weights']);

function controlBytes(sentByFamily: Readonly<Record<string, number>>): number {
  return Object.entries(sentByFamily)
    .filter(([family]) => !dataFamilies.has(family))
    .reduce((sum, [, bytes]) => sum + bytes, 0);
}

function processStatus(
  context: DaemonContext,
  groupOwners: readonly Pick<DaemonRole, 'groups'>[],
): ProcessStatus {
  const { sentByFamily: sentBytesByFamily } = context.traffic;
  const usage = process.cpuUsage();
  const committed = context.configuration.current?.committed;
  return {
    name: context.identity.name,
    incarnation: context.identity.incarnation,
    dataCentre: context.identity.dataCentre,
    roles: context.identity.roles,
    revision: committed?.revision ?? 0,
    digest: committed?.digest ?? '',
    groups: groupOwners.flatMap((owner) => owner.groups),
    residentBytes: process.memoryUsage.rss(),
    processorMilliseconds: (usage.user + usage.system) / MICROSECONDS_PER_MILLISECOND,
    controlBytesSent: controlBytes(sentBytesByFamily),
    sentBytesByFamily,
  };
}

/** Handlers that every process provides, regardless of its roles. */
export function createProcessStatusHandlers(
  context: DaemonContext,
  groupOwners: readonly Pick<DaemonRole, 'groups'>[],
): Partial<PeerHandlers> {
  return {
    calls: {
      'process.status': async () => Promise.resolve(processStatus(context, groupOwners)),
    },
  };
}
