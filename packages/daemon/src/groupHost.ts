import { setTimeout as pause } from 'node:timers/promises';
import {
  memberId,
  type MemberId,
  type Membership,
} from '@burdockrail/agreement/groupMembership.js';
import { createReplica, type Replica } from '@burdockrail/agreement/replica.js';
import type { ReplicaEffect } from '@burdockrail/agreement/replicaEffect.js';
import type { ReplicaMessage } from '@burdockrail/agreement/replicaMessage.js';
import { defaultReplicaTiming } from '@burdockrail/agreement/replicaTiming.js';
import { assertNever } from '@burdockrail/common/assertNever.js';
import { failure, type Outcome } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { createController } from './controller.js';
import type { GroupHost, GroupHostOptions } from './groupHostTypes.js';
import { createGroupReport, type GroupReport } from './groupReport.js';
import { encodeReplicaMessage } from './groupWire.js';
import type { GroupStorage } from './groupStorage.js';
import { createShownState } from './shownState.js';
import { isRefusedWrite, reopenStorage } from './storageRecovery.js';
import {
  createWithdrawnReplica,
  type HostedReplicaStatus,
  type WithdrawnReplica,
} from './withdrawnReplica.js';

/** Time for announcements to leave before connections are closed, in milliseconds. */
const RESIGNATION_MILLISECONDS = 100;

/** Interval between ticks of a replica, in milliseconds. */
const TICK_INTERVAL_MILLISECONDS = 50;

/** A replica with the storage from which it was created. */
interface HostedReplica {
  readonly member: MemberId;
  readonly replica: Replica;
  readonly storage: GroupStorage;
  readonly report: GroupReport;
}

/** Messages that the controller of a replica handles. */
type HostMessage =
  | { readonly kind: 'tick' }
  | { readonly kind: 'received'; readonly message: ReplicaMessage }
  | { readonly kind: 'persisted'; readonly hosted: HostedReplica; readonly sequence: number }
  | { readonly kind: 'propose'; readonly requestId: number; readonly command: unknown }
  | { readonly kind: 'query'; readonly requestId: number; readonly query: unknown }
  | { readonly kind: 'formGroup'; readonly groupId: string; readonly membership: Membership }
  | { readonly kind: 'resign' };

function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

/**
 * Hosts a replica: passes ticks and messages to it and performs its effects.
 *
 * @throws the error of `openStorage`, unless it means that the disk refuses writes at present.
 */
export async function createGroupHost(options: GroupHostOptions): Promise<GroupHost> {
  const { context, group, openStorage } = options;
  const { settings, time } = context;
  const stop = new AbortController();
  const pendingRequests = new Map<number, (outcome: Outcome<unknown>) => void>();
  const shown = createShownState(options.createState());
  let nextRequestId = 1;
  let latest: HostedReplica | null = null;
  let withdrawn: WithdrawnReplica | null = createWithdrawnReplica(null);
  let recovery = Promise.resolve();

  const completeRequest = (requestId: number, outcome: Outcome<unknown>): void => {
    pendingRequests.get(requestId)?.(outcome);
    pendingRequests.delete(requestId);
  };

  const startReplica = (storage: GroupStorage): void => {
    const member = memberId(settings.name, storage.incarnation);
    const replica = createReplica({
      self: { id: member, durable: storage.durable },
      slots: options.slots,
      state: options.createState(),
      timing: options.timing ?? defaultReplicaTiming,
      ...(options.repair === undefined ? {} : { repair: options.repair }),
      random: context.random,
      stored: storage.storedReplica,
      now: time.now(),
    });
    latest = { member, replica, storage, report: createGroupReport(context, group, member) };
    withdrawn = null;
    shown.offer(replica);
  };

  const logRefusal = (error: unknown): void => {
    context.log.write('groupStorageFailed', { group, reason: describeError(error) });
  };

  const close = async (storage: GroupStorage | null): Promise<void> => {
    try {
      await storage?.[Symbol.asyncDispose]();
    } catch (error) {
      logRefusal(error);
    }
  };

  const recover = async (failed: GroupStorage | null, failedAt: Milliseconds): Promise<void> => {
    try {
      await close(failed);
      const { signal } = stop;
      const storage = await reopenStorage({ openStorage, onRefused: logRefusal, signal });
      if (storage === null) return;
      startReplica(storage);
    } catch (error) {
      context.log.write('groupStorageCorrupt', { group, reason: describeError(error) });
      options.onCorrupt?.();
      return;
    }
    const milliseconds = Math.round(time.now() - failedAt);
    context.log.write('groupStorageRecovered', { group, milliseconds });
    options.onApplied?.();
  };

  const withdraw = ({ member, replica, storage }: HostedReplica, error: unknown): void => {
    logRefusal(error);
    shown.retire(time.now());
    withdrawn = createWithdrawnReplica(member, replica.status());
    for (const requestId of [...pendingRequests.keys()]) {
      completeRequest(requestId, failure(ResultCode.QuorumUnreachable));
    }
    recovery = recover(storage, time.now());
  };

  const isRunning = (hosted: HostedReplica): boolean => hosted === latest && withdrawn === null;

  const persist = (
    hosted: HostedReplica,
    effect: Extract<ReplicaEffect, { readonly kind: 'persist' }>,
  ): void => {
    hosted.storage.append(effect.records).then(
      () => {
        controller.send({ kind: 'persisted', hosted, sequence: effect.sequence });
      },
      (error: unknown) => {
        if (!stop.signal.aborted && isRunning(hosted)) withdraw(hosted, error);
      },
    );
  };

  const send = (slot: string, message: ReplicaMessage): void => {
    const address = options.addressOf(slot);
    if (address === undefined) return;
    context.client.notify(address, 'agreement.message', encodeReplicaMessage(group, message));
  };

  const performEffect = (hosted: HostedReplica, effect: ReplicaEffect): void => {
    switch (effect.kind) {
      case 'persist':
        persist(hosted, effect);
        return;
      case 'send':
        send(effect.slot, effect.message);
        return;
      case 'answer':
        completeRequest(effect.requestId, effect.outcome);
        return;
      case 'applied':
        shown.offer(hosted.replica);
        options.onApplied?.();
        return;
      default:
        assertNever(effect);
    }
  };

  const handleMessage = (hosted: HostedReplica, message: HostMessage): readonly ReplicaEffect[] => {
    const { replica } = hosted;
    const now = time.now();
    switch (message.kind) {
      case 'tick':
        return replica.tick(now);
      case 'received':
        return replica.receive(message.message, now);
      case 'persisted':
        return message.hosted === hosted ? replica.persisted(message.sequence, now) : [];
      case 'propose':
        return replica.propose(message.requestId, message.command, now);
      case 'query':
        return replica.query(message.requestId, message.query, now);
      case 'formGroup':
        return replica.formGroup(message.groupId, message.membership, now);
      case 'resign':
        context.log.write('groupResigned', { group, role: replica.status().role });
        return replica.resign();
    }
  };

  const step = (message: HostMessage): void => {
    if (stop.signal.aborted) return;
    if (withdrawn !== null || latest === null) {
      if (message.kind === 'received') withdrawn?.receive(message.message);
      return;
    }
    const hosted = latest;
    for (const effect of handleMessage(hosted, message)) performEffect(hosted, effect);
    hosted.report.observe(hosted.replica.status());
  };

  const controller = createController<null, HostMessage>(
    context.actors,
    `group-${group.replaceAll('.', '-')}`,
    null,
    (_state, message) => {
      step(message);
      return null;
    },
    context.log,
  );

  try {
    startReplica(await openStorage());
  } catch (error) {
    if (!isRefusedWrite(error)) {
      controller.stop();
      throw error;
    }
    logRefusal(error);
    recovery = recover(null, time.now());
  }
  const tickTimer = setInterval(() => {
    controller.send({ kind: 'tick' });
  }, TICK_INTERVAL_MILLISECONDS);

  const currentStatus = (): HostedReplicaStatus =>
    withdrawn?.status ?? latest?.replica.status() ?? createWithdrawnReplica(null).status;

  const sendRequest = async (
    message: (requestId: number) => HostMessage,
  ): Promise<Outcome<unknown>> => {
    if (stop.signal.aborted || currentStatus().groupId === null)
      return failure(ResultCode.GroupNotFormed);
    if (withdrawn !== null) return failure(ResultCode.NotLeader);
    const requestId = nextRequestId++;
    return new Promise((resolve) => {
      pendingRequests.set(requestId, resolve);
      controller.send(message(requestId));
    });
  };

  return {
    group,
    get member() {
      return latest?.member ?? null;
    },
    get durable() {
      return latest?.storage.durable ?? true;
    },
    get status() {
      return latest?.report.toGroupStatus(currentStatus()) ?? null;
    },
    get replica() {
      return currentStatus();
    },
    get confirmedAgeMilliseconds() {
      return shown.confirmedAge(time.now());
    },
    receive: (message) => {
      controller.send({ kind: 'received', message });
    },
    propose: async (command) =>
      sendRequest((requestId) => ({ kind: 'propose', requestId, command })),
    query: async (query) => sendRequest((requestId) => ({ kind: 'query', requestId, query })),
    formGroup: (groupId, membership) => {
      controller.send({ kind: 'formGroup', groupId, membership });
    },
    resign: async () => {
      controller.send({ kind: 'resign' });
      await pause(RESIGNATION_MILLISECONDS);
    },
    peek: (query) => shown.peek(query),
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      clearInterval(tickTimer);
      controller.stop();
      await recovery;
      await latest?.storage[Symbol.asyncDispose]();
    },
  };
}
