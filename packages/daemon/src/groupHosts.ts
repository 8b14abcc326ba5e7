import { join } from 'node:path';
import type { AnyReplicatedState } from '@burdockrail/agreement/replicaState.js';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { ResultError, type Outcome } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { createFleetRegister } from '@burdockrail/fleet/fleetRegister.js';
import type { GroupReply } from '@burdockrail/protocol/protocolAgreement.js';
import type { GroupStatus } from '@burdockrail/protocol/protocolConfiguration.js';
import type { PeerHandlers } from '@burdockrail/transport/peerHandlers.js';
import type { DaemonContext } from './daemonRole.js';
import { createFormationGuard, type FormationGuard } from './groupFormationGuard.js';
import { createGroupHost } from './groupHost.js';
import type { GroupHost } from './groupHostTypes.js';
import { inspectReplica, leaderSlot } from './groupInspection.js';
import { FLEET_GROUP, createSortableId } from './groupName.js';
import { groupNames, groupSlots } from './groupSlots.js';
import { decodeReplicaMessage } from './groupWire.js';
import { createMemoryStorage, type GroupStorage } from './groupStorage.js';
import { openStorageLog } from './storageLog.js';

/** All replicas of quorum groups that this process hosts. */
export interface GroupHosts extends AsyncDisposable {
  readonly handlers: Partial<PeerHandlers>;
  readonly groups: readonly GroupStatus[];
  /** Opens the storage of each replica and starts it. */
  start(): Promise<void>;
  host(group: string): GroupHost | undefined;
}

function toGroupReply(host: GroupHost, outcome: Outcome<unknown>): GroupReply {
  if (outcome.kind === 'success') return { kind: 'result', value: outcome.value };
  if (outcome.code === ResultCode.QuorumUnreachable) return { kind: 'unknown' };
  return { kind: 'refused', code: outcome.code, leader: leaderSlot(host) };
}

/** Options of {@link createGroupHosts}. */
export interface GroupHostsOptions {
  readonly context: DaemonContext;
  /** Creates the replicated state of a ledger group. */
  readonly createLedgerState: () => AnyReplicatedState;
  /** Called after the fleet group's state has applied committed commands. */
  readonly onFleetApplied: () => void;
}

/** Hosts a replica of each group in which the settings give this process a slot. */
export function createGroupHosts(options: GroupHostsOptions): GroupHosts {
  const { context } = options;
  const { settings, log } = context;
  const disposables = createDisposalStack();
  const hosts = new Map<string, GroupHost>();
  const formationGuards = new Map<string, FormationGuard>();

  const requireHost = (group: string): GroupHost => {
    const host = hosts.get(group);
    if (host === undefined) throw new ResultError(ResultCode.UnknownMessage, group);
    return host;
  };

  const openStorage = async (group: string): Promise<GroupStorage> => {
    const { control } = settings;
    if (control === undefined) return createMemoryStorage(createSortableId());
    return openStorageLog({
      folder: join(control.dataFolder, group),
      freshIncarnation: createSortableId(),
      onTailCut: (validBytes) => {
        log.write('storageTailCut', { group, soundBytes: validBytes });
      },
    });
  };

  const startGroup = async (group: string): Promise<void> => {
    const slots = groupSlots(settings, group);
    if (!slots.some((slot) => slot.name === settings.name)) return;
    const isFleet = group === FLEET_GROUP;
    const host = await createGroupHost({
      context,
      group,
      slots: slots.map((slot) => slot.name),
      addressOf: (slotName) => slots.find((slot) => slot.name === slotName)?.address,
      openStorage: async () => openStorage(group),
      createState: isFleet ? createFleetRegister : options.createLedgerState,
      ...(isFleet ? { onApplied: options.onFleetApplied } : {}),
    });
    hosts.set(group, disposables.use(host));
    formationGuards.set(group, createFormationGuard(host));
    if (isFleet) options.onFleetApplied();
  };

  return {
    get groups() {
      return [...hosts.values()].flatMap((host) => host.status ?? []);
    },
    host: (group) => hosts.get(group),
    start: async () => {
      for (const group of groupNames(settings)) await startGroup(group);
    },
    handlers: {
      calls: {
        'group.propose': async ({ group, command }) => {
          const host = requireHost(group);
          return toGroupReply(host, await host.propose(command));
        },
        'group.query': async ({ group, query }) => {
          const host = requireHost(group);
          return toGroupReply(host, await host.query(query));
        },
        'group.inspect': async ({ group }) => Promise.resolve(inspectReplica(requireHost(group))),
        'group.found': async (request) => {
          requireHost(request.group);
          const guard = formationGuards.get(request.group);
          return Promise.resolve(guard?.handle(request) ?? { accepted: false });
        },
      },
      notifications: {
        'agreement.message': (wire) => {
          hosts.get(wire[0])?.receive(decodeReplicaMessage(wire));
        },
      },
    },
    [Symbol.asyncDispose]: async () => disposables[Symbol.asyncDispose](),
  };
}
