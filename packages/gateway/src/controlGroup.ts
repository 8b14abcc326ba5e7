import { join } from 'node:path';
import { defaultReplicaTiming, type ReplicaTiming } from '@burdockrail/agreement/replicaTiming.js';
import { slotOf } from '@burdockrail/agreement/groupMembership.js';
import {
  createFormationGuard,
  type FormationGuard,
} from '@burdockrail/daemon/groupFormationGuard.js';
import { createGroupHost } from '@burdockrail/daemon/groupHost.js';
import type { GroupHost } from '@burdockrail/daemon/groupHostTypes.js';
import { inspectReplica, leaderSlot } from '@burdockrail/daemon/groupInspection.js';
import { createSortableId } from '@burdockrail/daemon/groupName.js';
import type { GroupStorage } from '@burdockrail/daemon/groupStorage.js';
import { decodeReplicaMessage } from '@burdockrail/daemon/groupWire.js';
import { openStorageLog } from '@burdockrail/daemon/storageLog.js';
import { createRouteRegister, type RouteRegisterState } from '@burdockrail/fleet/routeRegister.js';
import type { Outcome } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { formatAddress } from '@burdockrail/protocol/protocolAddress.js';
import type { GroupReply } from '@burdockrail/protocol/protocolAgreement.js';
import type { PeerHandlers } from '@burdockrail/transport/peerHandlers.js';
import { parseAddress } from './controlAddresses.js';
import type { GatewayContext } from './gatewayContext.js';
import type { ControlSettings } from './gatewaySettings.js';

/** Name of the only group of a gateway deployment. */
export const ROUTE_GROUP = 'routes';

/**
 * Silence after which a learner is removed, in milliseconds.
 *
 * Longer than a restart, and than a snapshot takes over a thin link.
 */
const LEARNER_SILENCE_MILLISECONDS = 6_000;

/** Shortest silence after which a voter may be removed, in milliseconds; restarts often take less. */
const SHORTEST_VOTER_SILENCE_MILLISECONDS = 2_000;

/**
 * Share of the time after which a machine no longer counts as lost.
 *
 * Within that time the group must do without a machine that was replaced, also if it led; the rest
 * is for an election and the removal.
 */
const VOTER_SILENCE_SHARE = 0.5;

/** Timing of the group; configurations are large, so the log is truncated to few entries. */
const groupTiming: ReplicaTiming = {
  ...defaultReplicaTiming,
  entriesPerSnapshot: 64,
  retainedEntries: 16,
  snapshotRetryMilliseconds: 1_500,
  // A leader resumed from suspension cannot tell from its steady clock that its lease has expired.
  usesLeaseReads: false,
};

/** Options of {@link openControlGroup}. */
export interface ControlGroupOptions {
  readonly context: GatewayContext;
  readonly control: ControlSettings;
  readonly onApplied: () => void;
  /** Called once if stored data turns out to be corrupt, which ends the replica. */
  readonly onCorrupt: () => void;
}

/** This process's replica of the group. */
export interface ControlGroup extends AsyncDisposable {
  readonly host: GroupHost;
  readonly founding: FormationGuard;
  readonly state: RouteRegisterState;
  /** Internal addresses of all members. */
  readonly members: readonly string[];
  /** Internal addresses of the members that count for a majority; the seeds before any is known. */
  readonly voters: readonly string[];
  /** Adds processes that a replica without a group asks for admission. */
  addContacts(addresses: readonly string[]): void;
  readonly handlers: Partial<PeerHandlers>;
}

function groupReply(host: GroupHost, outcome: Outcome<unknown>): GroupReply {
  if (outcome.kind === 'success') return { kind: 'result', value: outcome.value };
  if (outcome.code === ResultCode.QuorumUnreachable) return { kind: 'unknown' };
  return { kind: 'refused', code: outcome.code, leader: leaderSlot(host) };
}

/**
 * Opens the storage and starts the replica.
 *
 * @remarks
 * A member slot is named by the internal address of its process, so that a member can be reached by
 * its name; a process at a new address is a new slot.
 */
export async function openControlGroup(options: ControlGroupOptions): Promise<ControlGroup> {
  const { context, control } = options;
  const self = formatAddress(control.internal);
  const openStorage = async (): Promise<GroupStorage> =>
    openStorageLog({
      folder: join(control.dataFolder, ROUTE_GROUP),
      freshIncarnation: createSortableId(),
      onTailCut: (soundBytes) => {
        context.log.write('storageTailCut', { group: ROUTE_GROUP, soundBytes });
      },
    });
  const contacts = [...new Set([self, ...context.settings.seeds.map(formatAddress)])];
  const host = await createGroupHost({
    context: { ...context, settings: { name: self } },
    group: ROUTE_GROUP,
    slots: contacts,
    addressOf: parseAddress,
    timing: groupTiming,
    repair: {
      voterTimeoutMilliseconds: Math.max(
        SHORTEST_VOTER_SILENCE_MILLISECONDS,
        control.catchUpMilliseconds * VOTER_SILENCE_SHARE,
      ),
      learnerTimeoutMilliseconds: LEARNER_SILENCE_MILLISECONDS,
    },
    openStorage,
    createState: createRouteRegister,
    onApplied: options.onApplied,
    onCorrupt: options.onCorrupt,
  });
  context.metrics.gauge(
    'burdockrail_storage_failed',
    '1 while the disk refuses writes and the replica takes no part in its group.',
    () => (host.replica.role === 'withdrawn' ? 1 : 0),
  );
  const founding = createFormationGuard(host);
  return {
    host,
    founding,
    get state() {
      return host.peek(null) as RouteRegisterState;
    },
    get members() {
      const { membership } = host.replica;
      return [...membership.voters, ...membership.learners].map(({ id }) => slotOf(id));
    },
    get voters() {
      const { voters } = host.replica.membership;
      return voters.length > 0
        ? voters.map(({ id }) => slotOf(id))
        : context.settings.seeds.map(formatAddress);
    },
    addContacts: (addresses) => {
      for (const address of addresses) if (!contacts.includes(address)) contacts.push(address);
    },
    handlers: {
      calls: {
        'group.propose': async ({ command }) => groupReply(host, await host.propose(command)),
        'group.query': async ({ query }) => groupReply(host, await host.query(query)),
        'group.inspect': async () => Promise.resolve(inspectReplica(host)),
        'group.found': async (request) => Promise.resolve(founding.handle(request)),
      },
      notifications: {
        'agreement.message': (wire) => {
          host.receive(decodeReplicaMessage(wire));
        },
      },
    },
    [Symbol.asyncDispose]: async () => host[Symbol.asyncDispose](),
  };
}
