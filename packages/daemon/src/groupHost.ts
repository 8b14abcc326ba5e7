import { memberId, slotOf, type Membership } from '@burdockrail/agreement/groupMembership.js';
import { createReplica, type Replica, type ReplicaStatus } from '@burdockrail/agreement/replica.js';
import type { ReplicaEffect } from '@burdockrail/agreement/replicaEffect.js';
import type { MembershipRepair } from '@burdockrail/agreement/replicaState.js';
import type { ReplicaMessage } from '@burdockrail/agreement/replicaMessage.js';
import type { AnyReplicatedState } from '@burdockrail/agreement/replicaState.js';
import { defaultReplicaTiming, type ReplicaTiming } from '@burdockrail/agreement/replicaTiming.js';
import { assertNever } from '@burdockrail/common/assertNever.js';
import { failure, type Outcome } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import type { Address } from '@burdockrail/protocol/protocolAddress.js';
import type { GroupStatus } from '@burdockrail/protocol/protocolConfiguration.js';
import { createController } from './controller.js';
import type { DaemonContext } from './daemonRole.js';
import { createGroupReport } from './groupReport.js';
import { encodeReplicaMessage } from './groupWire.js';
import type { GroupStorage } from './groupStorage.js';

/** Interval between ticks of a replica, in milliseconds. */
const TICK_INTERVAL_MILLISECONDS = 50;

/** Messages that the controller of a replica handles. */
type HostMessage =
  | { readonly kind: 'tick' }
  | { readonly kind: 'received'; readonly message: ReplicaMessage }
  | { readonly kind: 'persisted'; readonly sequence: number }
  | { readonly kind: 'propose'; readonly requestId: number; readonly command: unknown }
  | { readonly kind: 'query'; readonly requestId: number; readonly query: unknown }
  | { readonly kind: 'formGroup'; readonly groupId: string; readonly membership: Membership };

/** Parts of the process context that a replica's host needs. */
export type GroupHostContext = Pick<
  DaemonContext,
  'time' | 'random' | 'log' | 'client' | 'actors'
> & {
  /** Slot of this process. */
  readonly settings: { readonly name: string };
};

/** Options of {@link createGroupHost}. */
export interface GroupHostOptions {
  readonly context: GroupHostContext;
  readonly group: string;
  /** Slots known at the start; all slots of the group if these are fixed. */
  readonly slots: readonly string[];
  readonly addressOf: (slot: string) => Address | undefined;
  readonly timing?: ReplicaTiming;
  readonly repair?: MembershipRepair;
  /** Owned by the host and disposed of with it. */
  readonly storage: GroupStorage;
  readonly state: AnyReplicatedState;
  /** Called after the state has applied committed commands. */
  readonly onApplied?: () => void;
  /** Called once when the storage has failed and the replica has stopped. */
  readonly onHalted?: () => void;
}

/** One replica of a quorum group in this process. */
export interface GroupHost extends AsyncDisposable {
  readonly group: string;
  readonly member: string;
  readonly durable: boolean;
  readonly status: GroupStatus;
  readonly replica: ReplicaStatus;
  /** Time since this replica was last confirmed to be up to date, in milliseconds. */
  readonly confirmedAgeMilliseconds: number;
  receive(message: ReplicaMessage): void;
  /** Proposes a command; failures other than `QuorumUnreachable` mean that it was not proposed. */
  propose(command: unknown): Promise<Outcome<unknown>>;
  query(query: unknown): Promise<Outcome<unknown>>;
  formGroup(groupId: string, membership: Membership): void;
  /** Answers from the committed state of this replica, which may be stale. */
  peek(query: unknown): unknown;
}

/** Hosts a replica: passes ticks and messages to it and performs its effects. */
export function createGroupHost(options: GroupHostOptions): GroupHost {
  const { context, group, slots, storage, state } = options;
  const { settings, time } = context;
  const member = memberId(settings.name, storage.incarnation);
  const pendingRequests = new Map<number, (outcome: Outcome<unknown>) => void>();
  const report = createGroupReport(context, group, member);
  let nextRequestId = 1;
  let isStopped = false;

  const replica: Replica = createReplica({
    self: { id: member, durable: storage.durable },
    slots,
    state,
    timing: options.timing ?? defaultReplicaTiming,
    ...(options.repair === undefined ? {} : { repair: options.repair }),
    random: context.random,
    stored: storage.storedReplica,
    now: time.now(),
  });

  const completeRequest = (requestId: number, outcome: Outcome<unknown>): void => {
    pendingRequests.get(requestId)?.(outcome);
    pendingRequests.delete(requestId);
  };

  const halt = (reason: string): void => {
    isStopped = true;
    clearInterval(tickTimer);
    context.log.write('groupStorageFailed', { group, reason });
    for (const requestId of [...pendingRequests.keys()]) {
      completeRequest(requestId, failure(ResultCode.QuorumUnreachable));
    }
    options.onHalted?.();
  };

  const persist = (effect: Extract<ReplicaEffect, { readonly kind: 'persist' }>): void => {
    storage.append(effect.records).then(
      () => {
        controller.send({ kind: 'persisted', sequence: effect.sequence });
      },
      (error: unknown) => {
        if (!isStopped) halt(error instanceof Error ? error.message : String(error));
      },
    );
  };

  const send = (slot: string, message: ReplicaMessage): void => {
    const address = options.addressOf(slot);
    if (address === undefined) return;
    context.client.notify(address, 'agreement.message', encodeReplicaMessage(group, message));
  };

  const performEffect = (effect: ReplicaEffect): void => {
    switch (effect.kind) {
      case 'persist':
        persist(effect);
        return;
      case 'send':
        send(effect.slot, effect.message);
        return;
      case 'answer':
        completeRequest(effect.requestId, effect.outcome);
        return;
      case 'applied':
        options.onApplied?.();
        return;
      default:
        assertNever(effect);
    }
  };

  const handleMessage = (message: HostMessage): readonly ReplicaEffect[] => {
    const now = time.now();
    switch (message.kind) {
      case 'tick':
        return replica.tick(now);
      case 'received':
        return replica.receive(message.message, now);
      case 'persisted':
        return replica.persisted(message.sequence, now);
      case 'propose':
        return replica.propose(message.requestId, message.command, now);
      case 'query':
        return replica.query(message.requestId, message.query, now);
      case 'formGroup':
        return replica.formGroup(message.groupId, message.membership, now);
    }
  };

  const controller = createController<null, HostMessage>(
    context.actors,
    `group-${group.replaceAll('.', '-')}`,
    null,
    (_state, message) => {
      if (isStopped) return null;
      for (const effect of handleMessage(message)) performEffect(effect);
      report.observe(replica.status());
      return null;
    },
    context.log,
  );
  const tickTimer = setInterval(() => {
    controller.send({ kind: 'tick' });
  }, TICK_INTERVAL_MILLISECONDS);

  const sendRequest = async (
    message: (requestId: number) => HostMessage,
  ): Promise<Outcome<unknown>> => {
    if (isStopped) return failure(ResultCode.GroupNotFormed);
    const requestId = nextRequestId++;
    return new Promise((resolve) => {
      pendingRequests.set(requestId, resolve);
      controller.send(message(requestId));
    });
  };

  return {
    group,
    member,
    durable: storage.durable,
    get status() {
      return report.toGroupStatus(replica.status());
    },
    get replica() {
      return replica.status();
    },
    get confirmedAgeMilliseconds() {
      return replica.confirmedAge(time.now());
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
    peek: (query) => replica.peek(query),
    [Symbol.asyncDispose]: async () => {
      isStopped = true;
      clearInterval(tickTimer);
      controller.stop();
      await storage[Symbol.asyncDispose]();
    },
  };
}

/** Slot of the leader; `null` if it is unknown to the replica. */
export function leaderSlot(host: GroupHost): string | null {
  const { leader } = host.replica;
  return leader === null ? null : slotOf(leader);
}
