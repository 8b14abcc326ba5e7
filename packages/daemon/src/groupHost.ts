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
import type { GroupStorage } from './storageGroup.js';

/** Interval at which a replica looks at its clock, in milliseconds. */
const TICK_MILLISECONDS = 50;

/** What the controller of a replica handles. */
type HostMessage =
  | { readonly kind: 'tick' }
  | { readonly kind: 'received'; readonly message: ReplicaMessage }
  | { readonly kind: 'persisted'; readonly sequence: number }
  | { readonly kind: 'propose'; readonly requestId: number; readonly command: unknown }
  | { readonly kind: 'query'; readonly requestId: number; readonly query: unknown }
  | { readonly kind: 'found'; readonly groupId: string; readonly membership: Membership };

/** What a replica's host needs of its process. */
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
  /** Slots that the replica knows from the start, or all of them where they are fixed. */
  readonly slots: readonly string[];
  readonly addressOf: (slot: string) => Address | undefined;
  readonly timing?: ReplicaTiming;
  readonly repair?: MembershipRepair;
  /** Taken over by the host and disposed of with it. */
  readonly storage: GroupStorage;
  readonly state: AnyReplicatedState;
  /** Called after the state took committed commands. */
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
  /** Time since this replica knew of a leader with a quorum, in milliseconds. */
  readonly ageMilliseconds: number;
  receive(message: ReplicaMessage): void;
  /** Failures other than `QuorumUnreachable` mean that the command was not proposed. */
  propose(command: unknown): Promise<Outcome<unknown>>;
  query(query: unknown): Promise<Outcome<unknown>>;
  found(groupId: string, membership: Membership): void;
  /** Answer from the committed state of this replica, which may lag. */
  peek(query: unknown): unknown;
}

/** Hosts a replica: gives it ticks and messages and carries out its effects. */
export function createGroupHost(options: GroupHostOptions): GroupHost {
  const { context, group, slots, storage, state } = options;
  const { settings, time } = context;
  const member = memberId(settings.name, storage.incarnation);
  const waiting = new Map<number, (outcome: Outcome<unknown>) => void>();
  const report = createGroupReport(context, group, member);
  let nextRequestId = 1;
  let stopped = false;

  const replica: Replica = createReplica({
    self: { id: member, durable: storage.durable },
    slots,
    state,
    timing: options.timing ?? defaultReplicaTiming,
    ...(options.repair === undefined ? {} : { repair: options.repair }),
    random: context.random,
    stored: storage.stored,
    now: time.now(),
  });

  const settle = (requestId: number, outcome: Outcome<unknown>): void => {
    waiting.get(requestId)?.(outcome);
    waiting.delete(requestId);
  };

  const halt = (reason: string): void => {
    stopped = true;
    clearInterval(ticker);
    context.log.write('groupStorageFailed', { group, reason });
    for (const requestId of [...waiting.keys()]) {
      settle(requestId, failure(ResultCode.QuorumUnreachable));
    }
    options.onHalted?.();
  };

  const persist = (effect: Extract<ReplicaEffect, { readonly kind: 'persist' }>): void => {
    storage.append(effect.records).then(
      () => {
        controller.send({ kind: 'persisted', sequence: effect.sequence });
      },
      (error: unknown) => {
        if (!stopped) halt(error instanceof Error ? error.message : String(error));
      },
    );
  };

  const send = (slot: string, message: ReplicaMessage): void => {
    const address = options.addressOf(slot);
    if (address === undefined) return;
    context.client.notify(address, 'agreement.message', encodeReplicaMessage(group, message));
  };

  const carryOut = (effect: ReplicaEffect): void => {
    switch (effect.kind) {
      case 'persist':
        persist(effect);
        return;
      case 'send':
        send(effect.slot, effect.message);
        return;
      case 'answer':
        settle(effect.requestId, effect.outcome);
        return;
      case 'applied':
        options.onApplied?.();
        return;
      default:
        assertNever(effect);
    }
  };

  const decide = (message: HostMessage): readonly ReplicaEffect[] => {
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
      case 'found':
        return replica.formGroup(message.groupId, message.membership, now);
    }
  };

  const controller = createController<null, HostMessage>(
    context.actors,
    `group-${group.replaceAll('.', '-')}`,
    null,
    (_state, message) => {
      if (stopped) return null;
      for (const effect of decide(message)) carryOut(effect);
      report.observe(replica.status());
      return null;
    },
    context.log,
  );
  const ticker = setInterval(() => {
    controller.send({ kind: 'tick' });
  }, TICK_MILLISECONDS);

  const request = async (
    message: (requestId: number) => HostMessage,
  ): Promise<Outcome<unknown>> => {
    if (stopped) return failure(ResultCode.GroupNotFormed);
    const requestId = nextRequestId++;
    return new Promise((resolve) => {
      waiting.set(requestId, resolve);
      controller.send(message(requestId));
    });
  };

  return {
    group,
    member,
    durable: storage.durable,
    get status() {
      return report.statusOf(replica.status());
    },
    get replica() {
      return replica.status();
    },
    get ageMilliseconds() {
      return replica.confirmedAge(time.now());
    },
    receive: (message) => {
      controller.send({ kind: 'received', message });
    },
    propose: async (command) => request((requestId) => ({ kind: 'propose', requestId, command })),
    query: async (query) => request((requestId) => ({ kind: 'query', requestId, query })),
    found: (groupId, membership) => {
      controller.send({ kind: 'found', groupId, membership });
    },
    peek: (query) => replica.peek(query),
    [Symbol.asyncDispose]: async () => {
      stopped = true;
      clearInterval(ticker);
      controller.stop();
      await storage[Symbol.asyncDispose]();
    },
  };
}

/** Slot of the leader that a replica knows of. */
export function leaderSlot(host: GroupHost): string | null {
  const { leader } = host.replica;
  return leader === null ? null : slotOf(leader);
}
