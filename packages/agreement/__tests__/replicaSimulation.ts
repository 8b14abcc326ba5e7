import { createSeededRandom, type SeededRandom } from '@burdockrail/common/seededRandom.js';
import { memberId, type Member } from '../src/groupMembership.js';
import { createReplica, type Replica } from '../src/replica.js';
import type { ReplicaEffect, StoredRecord, StoredReplica } from '../src/replicaEffect.js';
import type { ReplicaMessage } from '../src/replicaMessage.js';
import type { ReplicaTiming } from '../src/replicaTiming.js';
import { applyStoredRecord } from '../src/storedReplica.js';
import { createListState } from './listState.js';
import { reliableConditions, networkConditions, type Step } from './simulationSteps.js';

/** Small values, so that short schedules include snapshots and elections. */
export const simulationTiming: ReplicaTiming = {
  heartbeatMilliseconds: 50,
  electionTimeoutMilliseconds: 200,
  driftBound: 0.1,
  snapshotRetryMilliseconds: 300,
  entriesPerSnapshot: 6,
  retainedEntries: 2,
  usesLeaseReads: true,
};

interface Slot {
  readonly name: string;
  readonly durable: boolean;
  readonly clockRate: number;
  incarnation: number;
  replica: Replica;
  self: Member;
  stored: StoredReplica | null;
  unsynced: { sequence: number; records: readonly StoredRecord[] }[];
  paused: boolean;
}

interface InFlightMessage {
  readonly fromSlot: string;
  readonly toSlot: string;
  readonly message: ReplicaMessage;
  /** Number of times this message was duplicated in the network. */
  readonly copies: number;
}

/**
 * Without this limit, messages to a paused replica multiply for as long as it is paused, and a schedule
 * may never end.
 */
const MAXIMUM_COPIES = 3;

const MAXIMUM_TIME_STEP_MILLISECONDS = 40;

/** Only one in this many wipe steps wipes a disk, because groups rarely survive two wiped disks. */
const STEPS_PER_WIPE = 4;

/** More than one, so that a message and its reply can both arrive within a time step. */
const DELIVERY_ROUNDS_PER_TIME_STEP = 3;

/** A group of replicas with simulated network, disk and clock faults. */
export interface Simulation {
  step(step: Step): void;
  /** Ends all faults and runs until a command is committed; returns whether one was. */
  settle(maximumTimeSteps: number): boolean;
  /** True while no disk has been wiped. */
  readonly recoverable: boolean;
  readonly committed: number;
  readonly elections: number;
}

/** Creates a group; throws when an invariant is violated. */
export function createSimulation(durability: readonly boolean[], seed: number): Simulation {
  const random: SeededRandom = createSeededRandom(seed);
  const committed: number[] = [];
  const leaderByTerm = new Map<number, string>();
  const acknowledged = { length: 0 };
  const queries = new Map<number, number>();
  const proposals = new Map<number, number>();
  const cutLinks = new Set<string>();
  let network: InFlightMessage[] = [];
  let conditions = reliableConditions;
  let time = 0;
  let nextRequest = 1;
  let hasWipedDisk = false;

  const record = (position: number, command: number): void => {
    const known = committed[position - 1];
    if (known === undefined && position === committed.length + 1) committed.push(command);
    else if (known !== command) {
      throw new Error(`command ${known} at position ${position} was replaced by ${command}`);
    }
  };
  const names = durability.map((_durable, index) => `s${index}`);
  const clock = (slot: Slot): number => time * slot.clockRate;
  const newMember = (name: string, durable: boolean, incarnation: number): Member => ({
    id: memberId(name, String(incarnation).padStart(6, '0')),
    durable,
  });
  const startReplica = (slot: Slot): void => {
    slot.replica = createReplica({
      self: slot.self,
      slots: names,
      state: createListState(record),
      timing: simulationTiming,
      random,
      stored: slot.stored,
      now: clock(slot),
    });
  };
  const slots = durability.map((durable, index): Slot => {
    const name = names[index] ?? '';
    const self = newMember(name, durable, 1);
    const clockRate = 1 + (random.nextInteger(3) - 1) * simulationTiming.driftBound;
    const slot = { name, durable, clockRate, incarnation: 1, self, stored: null, unsynced: [] };
    const simulated: Slot = { ...slot, paused: false, replica: undefined as unknown as Replica };
    startReplica(simulated);
    return simulated;
  });

  const checkLeader = (slot: Slot): void => {
    const status = slot.replica.status();
    if (status.role !== 'leader') return;
    const known = leaderByTerm.get(status.term) ?? slot.self.id;
    if (known !== slot.self.id) {
      throw new Error(`term ${status.term} has two leaders: ${known} and ${slot.self.id}`);
    }
    leaderByTerm.set(status.term, slot.self.id);
  };
  const onAnswer = (effect: Extract<ReplicaEffect, { readonly kind: 'answer' }>): void => {
    if (effect.outcome.kind === 'failure') return;
    const length = effect.outcome.value as number;
    const acknowledgedLength = queries.get(effect.requestId);
    if (acknowledgedLength !== undefined && length < acknowledgedLength) {
      throw new Error(`stale query: ${length} after ${acknowledgedLength} acknowledged`);
    }
    const command = proposals.get(effect.requestId);
    if (command !== undefined && committed[length - 1] !== command) {
      throw new Error(`answer to proposal ${command} names the position of another command`);
    }
    acknowledged.length = Math.max(acknowledged.length, length);
  };
  const applyEffects = (slot: Slot, effects: readonly ReplicaEffect[]): void => {
    for (const effect of effects) {
      if (effect.kind === 'persist') slot.unsynced.push(effect);
      else if (effect.kind === 'answer') onAnswer(effect);
      else if (effect.kind === 'send') {
        const { slot: toSlot, message } = effect;
        network.push({ fromSlot: slot.name, toSlot, message, copies: 0 });
      }
    }
    checkLeader(slot);
    if (!slot.durable) sync(slot);
  };
  const store = (slot: Slot, count: number): number => {
    let last = 0;
    for (const { sequence, records } of slot.unsynced.splice(0, count)) {
      for (const item of records) slot.stored = applyStoredRecord(slot.stored, item);
      last = sequence;
    }
    return last;
  };
  const sync = (slot: Slot): void => {
    const last = store(slot, slot.unsynced.length);
    if (last > 0) applyEffects(slot, slot.replica.persisted(last, clock(slot)));
  };
  const linkOf = (from: string, to: string): string => `${from}>${to}`;
  const receive = (item: InFlightMessage): void => {
    const { fromSlot, toSlot, message } = item;
    const slot = slots.find((candidate) => candidate.name === toSlot);
    if (slot === undefined || cutLinks.has(linkOf(fromSlot, toSlot))) return;
    if (slot.paused) network.push(item);
    else applyEffects(slot, slot.replica.receive(message, clock(slot)));
  };
  const deliverSome = (): void => {
    const inFlight = network;
    network = [];
    for (const item of inFlight) {
      if (random.next() < conditions.lost) continue;
      const isDuplicated = random.next() < conditions.duplicated && item.copies < MAXIMUM_COPIES;
      const copy = isDuplicated ? { ...item, copies: item.copies + 1 } : item;
      if (isDuplicated) network.push(copy);
      if (random.next() < conditions.delivered) receive(copy);
      else network.push(copy);
    }
  };
  const syncSome = (): void => {
    for (const slot of slots) {
      if (!slot.paused && random.next() < conditions.synced) sync(slot);
    }
  };
  const advance = (milliseconds: number): void => {
    time += milliseconds;
    for (const slot of slots) {
      if (!slot.paused) applyEffects(slot, slot.replica.tick(clock(slot)));
    }
  };
  const runTimeStep = (milliseconds: number): void => {
    advance(milliseconds);
    for (let round = 0; round < DELIVERY_ROUNDS_PER_TIME_STEP; round += 1) {
      deliverSome();
      syncSome();
    }
  };
  const restart = (slot: Slot, wipe: boolean, syncedCount: number): void => {
    store(slot, syncedCount);
    slot.unsynced = [];
    slot.paused = false;
    if (wipe) hasWipedDisk = true;
    if (wipe || !slot.durable || slot.stored === null) {
      slot.stored = null;
      slot.incarnation += 1;
      slot.self = newMember(slot.name, slot.durable, slot.incarnation);
    }
    startReplica(slot);
  };
  const crash = (slot: Slot): void => {
    restart(slot, false, random.nextInteger(slot.unsynced.length + 1));
  };
  const currentLeaders = (): readonly Slot[] =>
    slots.filter((slot) => slot.replica.status().role === 'leader');
  const withLeader = (chosenNumber: number, act: (leader: Slot) => void): void => {
    const all = currentLeaders();
    const leader = all[chosenNumber % Math.max(1, all.length)];
    if (leader !== undefined) act(leader);
  };
  const propose = (slot: Slot): void => {
    if (slot.paused) return;
    const requestId = nextRequest++;
    proposals.set(requestId, requestId);
    applyEffects(slot, slot.replica.propose(requestId, requestId, clock(slot)));
  };
  const query = (slot: Slot): void => {
    if (slot.paused) return;
    const requestId = nextRequest++;
    queries.set(requestId, acknowledged.length);
    applyEffects(slot, slot.replica.query(requestId, 'length', clock(slot)));
  };
  const cutBetween = (left: Slot, right: Slot): void => {
    cutLinks.add(linkOf(left.name, right.name));
    cutLinks.add(linkOf(right.name, left.name));
  };
  const isolate = (slot: Slot): void => {
    for (const other of slots) cutBetween(slot, other);
  };
  const resumeAll = (): void => {
    for (const slot of slots) slot.paused = false;
  };

  const handlers: Readonly<Record<Step['kind'], (slot: Slot, step: Step) => void>> = {
    timeStep: (_slot, { second }) => {
      runTimeStep(second % MAXIMUM_TIME_STEP_MILLISECONDS);
    },
    advance: (_slot, { second }) => {
      advance(second % simulationTiming.electionTimeoutMilliseconds);
    },
    changeConditions: (_slot, { second }) => {
      conditions = networkConditions[second % networkConditions.length] ?? reliableConditions;
    },
    sync,
    crash,
    crashLeader: (_slot, { second }) => {
      withLeader(second, crash);
    },
    crashMemory: () => {
      slots.filter((slot) => !slot.durable).forEach(crash);
    },
    crashAll: () => {
      slots.forEach(crash);
    },
    wipeDisk: (slot, { second }) => {
      if (second % STEPS_PER_WIPE === 0) restart(slot, true, 0);
    },
    pauseLeader: (_slot, { second }) => {
      withLeader(second, (leader) => {
        leader.paused = true;
      });
    },
    resume: resumeAll,
    isolate,
    isolateLeader: (_slot, { second }) => {
      withLeader(second, isolate);
    },
    cutOneWay: (slot, { second }) => {
      cutLinks.add(linkOf(slot.name, names[second % names.length] ?? ''));
    },
    partition: (_slot, { second }) => {
      const isLeft = (index: number): boolean => ((second >> index) & 1) === 1;
      slots.forEach((left, index) => {
        if (isLeft(index))
          slots
            .filter((_s, other) => !isLeft(other))
            .forEach((right) => {
              cutBetween(left, right);
            });
      });
    },
    heal: () => {
      cutLinks.clear();
    },
    propose: (_slot, { second }) => {
      withLeader(second, propose);
    },
    query: () => {
      currentLeaders().forEach(query);
    },
  };

  const membership = { voters: slots.map((slot) => slot.self), learners: [] };
  for (const slot of slots) {
    applyEffects(slot, slot.replica.formGroup('group-1', membership, clock(slot)));
    sync(slot);
  }

  return {
    step: (step) => {
      const slot = slots[step.first % slots.length];
      if (slot !== undefined) handlers[step.kind](slot, step);
    },
    settle: (maximumTimeSteps) => {
      cutLinks.clear();
      resumeAll();
      conditions = reliableConditions;
      const before = acknowledged.length;
      for (let count = 0; count < maximumTimeSteps && acknowledged.length === before; count += 1) {
        runTimeStep(MAXIMUM_TIME_STEP_MILLISECONDS);
        currentLeaders().forEach(propose);
      }
      return acknowledged.length > before;
    },
    get recoverable() {
      return !hasWipedDisk;
    },
    get committed() {
      return committed.length;
    },
    get elections() {
      return leaderByTerm.size;
    },
  };
}
