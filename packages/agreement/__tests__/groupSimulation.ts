import assert from 'node:assert/strict';
import { createSeededRandom, type SeededRandom } from '@burdockrail/common/seededRandom.js';
import { memberId, slotOf, type Member } from '../src/groupMembership.js';
import { createReplica, type Replica } from '../src/replica.js';
import type { ReplicaEffect, StoredReplica } from '../src/replicaEffect.js';
import type { ReplicaMessage } from '../src/replicaMessage.js';
import { defaultReplicaTiming, type ReplicaTiming } from '../src/replicaTiming.js';
import { applyStoredRecord } from '../src/storedReplica.js';
import { createListState } from './listState.js';

/** Timing of the control group of a gateway deployment. */
const timing: ReplicaTiming = {
  ...defaultReplicaTiming,
  entriesPerSnapshot: 64,
  retainedEntries: 16,
  snapshotRetryMilliseconds: 1_500,
  usesLeaseReads: false,
};
const repair = { voterTimeoutMilliseconds: 2_000, learnerTimeoutMilliseconds: 6_000 };

const TIME_STEP_MILLISECONDS = 20;
const TICK_INTERVAL_MILLISECONDS = 40;
const PROPOSAL_INTERVAL_MILLISECONDS = 100;
const LARGEST_DELAY_MILLISECONDS = 30;

/** A process with a replica; its clock starts anew with it, as a steady clock may. */
interface SimulatedProcess {
  readonly slot: string;
  member: Member;
  replica: Replica;
  stored: StoredReplica | null;
  state: 'up' | 'down' | 'frozen';
  startedAt: number;
  /** Messages that arrive while the process is frozen. */
  inbox: ReplicaMessage[];
}

interface InFlightMessage {
  readonly from: string;
  readonly to: string;
  readonly arrivesAt: number;
  readonly message: ReplicaMessage;
}

/** A group of durable replicas whose machines come, go, lose their disks, freeze and are cut off. */
export interface GroupSimulation {
  readonly random: SeededRandom;
  run(milliseconds: number): void;
  /** Slots of all processes, also of those that have ended. */
  readonly slots: readonly string[];
  /** Slots of the processes that run. */
  readonly running: readonly string[];
  readonly leader: string | null;
  readonly voters: readonly string[];
  /** Commands that were acknowledged. */
  readonly acknowledged: number;
  /** Starts a process at a new address; returns its slot. */
  startSuccessor(): string;
  /** Ends a process; with `isAnnounced` it resigns first. */
  stop(slot: string, isAnnounced: boolean): void;
  restart(slot: string, hasLostDisk: boolean): void;
  freeze(slot: string): void;
  thaw(slot: string): void;
  /** Cuts a process off from those that are not cut off, until {@link heal}. */
  cutOff(slot: string): void;
  heal(): void;
  /** Largest age of what a running process vouches for, in milliseconds. */
  readonly largestConfirmedAge: number;
  /** Throws unless a commit is possible after the loss of any one process that runs. */
  assertLossIsBorne(): void;
  describe(): string;
}

/** Creates a formed group; throws when a command is lost or a replica vouches for too much. */
export function createGroupSimulation(size: number, seed: number): GroupSimulation {
  const random = createSeededRandom(Math.imul(seed, 0x9e3779b1));
  const processes = new Map<string, SimulatedProcess>();
  const committed: number[] = [];
  const acknowledgements: { readonly at: number; readonly length: number }[] = [];
  const proposals = new Set<number>();
  const cutOffSlots = new Set<string>();
  /** Last arrival by link; messages of a connection don't overtake each other. */
  const lastArrivals = new Map<string, number>();
  let network: InFlightMessage[] = [];
  let now = 0;
  let nextNumber = 1;
  let nextRequest = 1;

  const recordCommand = (position: number, command: number): void => {
    const known = committed[position - 1];
    if (known === undefined && position === committed.length + 1) committed.push(command);
    else assert.equal(command, known, `command at position ${position}`);
  };
  const clock = (process: SimulatedProcess): number => now - process.startedAt;
  const newMember = (slot: string): Member => ({
    id: memberId(slot, String(nextNumber++).padStart(6, '0')),
    durable: true,
  });
  const newReplica = (self: Member, stored: StoredReplica | null): Replica =>
    createReplica({
      self,
      slots: [...processes.keys()],
      repair,
      state: createListState(recordCommand),
      timing,
      random: createSeededRandom(Math.imul(nextNumber++, 0x9e3779b1) ^ seed),
      stored,
      now: 0,
    });
  const start = (slot: string): SimulatedProcess => {
    const member = newMember(slot);
    processes.set(slot, {
      slot,
      member,
      replica: newReplica(member, null),
      stored: null,
      state: 'up',
      startedAt: now,
      inbox: [],
    });
    return get(slot);
  };
  const get = (slot: string): SimulatedProcess => {
    const process = processes.get(slot);
    assert.ok(process !== undefined, `process ${slot}`);
    return process;
  };
  const lastAcknowledged = (until: number): number =>
    acknowledgements.findLast(({ at }) => at <= until)?.length ?? 0;
  const applyEffects = (process: SimulatedProcess, effects: readonly ReplicaEffect[]): void => {
    for (const effect of effects) {
      if (effect.kind === 'send') {
        const delay = 1 + random.nextInteger(LARGEST_DELAY_MILLISECONDS);
        const { slot: to, message } = effect;
        const link = `${process.slot}>${to}`;
        const arrivesAt = Math.max(lastArrivals.get(link) ?? 0, now + delay);
        lastArrivals.set(link, arrivesAt);
        network.push({ from: process.slot, to, arrivesAt, message });
      }
      if (effect.kind === 'answer' && effect.outcome.kind === 'success') {
        const length = effect.outcome.value as number;
        if (proposals.has(effect.requestId) && length > lastAcknowledged(now))
          acknowledgements.push({ at: now, length });
      }
      if (effect.kind !== 'persist') continue;
      for (const record of effect.records)
        process.stored = applyStoredRecord(process.stored, record);
      applyEffects(process, process.replica.persisted(effect.sequence, clock(process)));
    }
  };
  const receive = (process: SimulatedProcess, message: ReplicaMessage): void => {
    applyEffects(process, process.replica.receive(message, clock(process)));
  };
  const deliver = (): void => {
    const due = network
      .filter(({ arrivesAt }) => arrivesAt <= now)
      .sort((left, right) => left.arrivesAt - right.arrivesAt);
    network = network.filter(({ arrivesAt }) => arrivesAt > now);
    for (const { from, to, message } of due) {
      const process = processes.get(to);
      if (process === undefined || cutOffSlots.has(from) !== cutOffSlots.has(to)) continue;
      if (process.state === 'frozen') process.inbox.push(message);
      if (process.state === 'up') receive(process, message);
    }
  };
  const runningProcesses = (): readonly SimulatedProcess[] =>
    [...processes.values()].filter(({ state }) => state === 'up');
  const leaders = (): readonly SimulatedProcess[] =>
    runningProcesses().filter(({ replica }) => replica.status().role === 'leader');
  /** The leader of the latest term. */
  const currentLeader = (): SimulatedProcess | undefined =>
    [...leaders()].sort(
      (left, right) => right.replica.status().term - left.replica.status().term,
    )[0];
  const propose = (): void => {
    for (const process of leaders()) {
      const requestId = nextRequest++;
      proposals.add(requestId);
      applyEffects(process, process.replica.propose(requestId, requestId, clock(process)));
    }
  };
  /** A replica that says how old its knowledge is must hold all that was acknowledged before. */
  const checkClaims = (): void => {
    for (const process of runningProcesses()) {
      const age = process.replica.confirmedAge(clock(process));
      if (!Number.isFinite(age)) continue;
      const length = process.replica.peek(null) as number;
      const required = lastAcknowledged(now - age);
      assert.ok(
        length >= required,
        `${process.slot} vouches for ${length} of ${required} commands at ${now}, age ${age}`,
      );
    }
  };
  const run = (milliseconds: number): void => {
    for (const end = now + milliseconds; now < end; now += TIME_STEP_MILLISECONDS) {
      deliver();
      checkClaims();
      if (now % TICK_INTERVAL_MILLISECONDS === 0)
        for (const process of runningProcesses())
          applyEffects(process, process.replica.tick(clock(process)));
      if (now % PROPOSAL_INTERVAL_MILLISECONDS === 0) propose();
    }
  };
  const voters = (): readonly string[] =>
    (currentLeader()?.replica.status().membership.voters ?? []).map(({ id }) => slotOf(id));
  const describe = (): string =>
    `at ${now}: leader ${currentLeader()?.slot ?? 'none'}, voters ${voters().join(' ')}, running ${runningProcesses()
      .map(({ slot }) => slot)
      .join(' ')}`;

  const founders = Array.from({ length: size }, (_item, index) => `m${index + 1}`);
  for (const slot of founders) start(slot);
  const membership = { voters: founders.map((slot) => get(slot).member), learners: [] };
  for (const slot of founders) {
    const process = get(slot);
    // Created again, so that each knows all slots.
    process.replica = newReplica(process.member, null);
    applyEffects(process, process.replica.formGroup('group-1', membership, clock(process)));
  }

  return {
    random,
    run,
    get slots() {
      return [...processes.keys()];
    },
    get running() {
      return runningProcesses().map(({ slot }) => slot);
    },
    get leader() {
      return currentLeader()?.slot ?? null;
    },
    get voters() {
      return voters();
    },
    get acknowledged() {
      return lastAcknowledged(now);
    },
    get largestConfirmedAge() {
      return Math.max(
        ...runningProcesses().map((process) => process.replica.confirmedAge(clock(process))),
      );
    },
    startSuccessor: () => start(`m${nextNumber}`).slot,
    stop: (slot, isAnnounced) => {
      const process = get(slot);
      if (isAnnounced && process.state === 'up') applyEffects(process, process.replica.resign());
      process.state = 'down';
    },
    restart: (slot, hasLostDisk) => {
      const process = get(slot);
      if (hasLostDisk) {
        process.stored = null;
        process.member = newMember(slot);
      }
      process.replica = newReplica(process.member, process.stored);
      process.startedAt = now;
      process.inbox = [];
      process.state = 'up';
    },
    freeze: (slot) => {
      get(slot).state = 'frozen';
    },
    thaw: (slot) => {
      const process = get(slot);
      process.state = 'up';
      for (const message of process.inbox.splice(0)) {
        receive(process, message);
        checkClaims();
      }
    },
    cutOff: (slot) => {
      cutOffSlots.add(slot);
    },
    heal: () => {
      cutOffSlots.clear();
    },
    assertLossIsBorne: () => {
      const status = currentLeader()?.replica.status();
      assert.ok(status !== undefined, `no leader; ${describe()}`);
      const { voters: members } = status.membership;
      const present = members.filter(({ id }) => {
        const process = processes.get(slotOf(id));
        return process?.state === 'up' && process.member.id === id;
      });
      assert.ok((present.length - 1) * 2 > members.length, `no loss can be borne; ${describe()}`);
    },
    describe,
  };
}
