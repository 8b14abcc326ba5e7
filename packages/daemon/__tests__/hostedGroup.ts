import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Membership } from '@burdockrail/agreement/groupMembership.js';
import type { AnyReplicatedState } from '@burdockrail/agreement/replicaState.js';
import { createDisposalStack } from '@burdockrail/common/disposalStack.js';
import { createSeededRandom } from '@burdockrail/common/seededRandom.js';
import { monotonicClock } from '@burdockrail/common/timeSource.js';
import type { AgreementMessage } from '@burdockrail/protocol/protocolAgreement.js';
import type { EventFields } from '@burdockrail/telemetry/eventLog.js';
import { start as startActors, stop as stopActors } from 'nact';
import { createGroupHost } from '../src/groupHost.js';
import type { GroupHost, GroupHostContext } from '../src/groupHostTypes.js';
import { decodeReplicaMessage } from '../src/groupWire.js';
import { openStorageLog } from '../src/storageLog.js';
import { createFaultyDisk, type FaultyDisk } from './faultyDisk.js';

const HOST = '127.0.0.1';

/** A replica of a hosted group and what surrounds it. */
export interface HostedMember {
  readonly host: GroupHost;
  readonly disk: FaultyDisk;
  readonly folder: string;
  readonly events: readonly { readonly name: string; readonly fields: EventFields }[];
  /** While true, no message reaches or leaves the replica. */
  isCutOff: boolean;
  corruptions: number;
}

/** Replicas of one group in this process, each with a disk of its own. */
export interface HostedGroup extends AsyncDisposable {
  readonly members: readonly HostedMember[];
  /** Forms the group from all replicas. */
  form(): void;
}

/** A state that adds numbers up; the answer is the sum. */
function createSumState(): AnyReplicatedState {
  let sum = 0;
  return {
    apply: (command) => {
      sum += command as number;
      return sum;
    },
    query: () => sum,
    snapshot: () => sum,
    restore: (snapshot) => {
      sum = snapshot as number;
    },
  };
}

/** Starts replicas without a group; `prepareDisk` sees each disk before the storage is opened. */
export async function startHostedGroup(
  size: number,
  prepareDisk: (disk: FaultyDisk, index: number) => void = () => undefined,
): Promise<HostedGroup> {
  const disposables = createDisposalStack();
  const slots = Array.from({ length: size }, (_value, index) => `s${index}`);
  const members: HostedMember[] = [];

  const deliver = (from: number, to: number, wire: AgreementMessage): void => {
    setImmediate(() => {
      const [sender, receiver] = [members[from], members[to]];
      if (sender?.isCutOff === true || receiver === undefined || receiver.isCutOff) return;
      receiver.host.receive(decodeReplicaMessage(wire));
    });
  };

  const startMember = async (index: number): Promise<HostedMember> => {
    const folder = await mkdtemp(join(tmpdir(), 'hosted-'));
    disposables.defer(async () => rm(folder, { recursive: true }));
    const disk = createFaultyDisk();
    prepareDisk(disk, index);
    const events: { name: string; fields: EventFields }[] = [];
    const actors = startActors();
    disposables.defer(() => {
      stopActors(actors);
    });
    const context = {
      settings: { name: slots[index] },
      time: monotonicClock,
      random: createSeededRandom(index),
      log: {
        write: (name: string, fields: EventFields = {}) => events.push({ name, fields }),
      },
      client: {
        notify: ({ port }: { readonly port: number }, _kind: string, wire: AgreementMessage) => {
          deliver(index, port, wire);
        },
      },
      actors,
    } as unknown as GroupHostContext;
    let opened = 0;
    const host = disposables.use(
      await createGroupHost({
        context,
        group: 'g',
        slots,
        addressOf: (slot) => ({ host: HOST, port: slots.indexOf(slot) }),
        openStorage: async () =>
          openStorageLog({
            folder,
            freshIncarnation: String((opened += 1)),
            onTailCut: () => undefined,
            fileSystem: disk.fileSystem,
          }),
        createState: createSumState,
        onCorrupt: () => {
          member.corruptions += 1;
        },
      }),
    );
    const member = { host, disk, folder, events, isCutOff: false, corruptions: 0 };
    return member;
  };

  for (let index = 0; index < size; index += 1) members.push(await startMember(index));
  return {
    members,
    form: () => {
      const voters = members.map(({ host }) => ({ id: host.member ?? '', durable: true }));
      const membership: Membership = { voters, learners: [] };
      for (const { host } of members) host.formGroup('1', membership);
    },
    [Symbol.asyncDispose]: async () => disposables[Symbol.asyncDispose](),
  };
}
