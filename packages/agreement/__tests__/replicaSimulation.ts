import { createSeededRandom, type SeededRandom } from '@burdockrail/common/seededRandom.js';
import { memberId, type Member } from '../src/groupMembership.js';
import { createReplica, type Replica } from '../src/replica.js';
import type { ReplicaEffect, StoredRecord, StoredReplica } from '../src/replicaEffect.js';
import type { ReplicaMessage } from '../src/replicaMessage.js';
import type { ReplicaTiming } from '../src/replicaTiming.js';
import { applyStoredRecord } from '../src/storedReplica.js';
import { createListState } from './listState.js';

/** Small bounds, so that short schedules reach snapshots and elections. */
export const simulationTiming: ReplicaTiming = {
  heartbeatMilliseconds: 50,
  electionMilliseconds: 200,
  driftBound: 0.1,
  snapshotRetryMilliseconds: 300,
  entriesPerSnapshot: 6,
  entriesKept: 2,
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
  frozen: boolean;
}

interface Travelling {
  readonly fromSlot: string;
  readonly toSlot: string;
  readonly message: ReplicaMessage;
}

/** Kinds of steps of a schedule. */
export const stepKinds = [
  'run',
  'run',
  'run',
  'advance',
  'deliver',
  'drop',
  'double',
  'sync',
  'crash',
  'wipe',
  'freeze',
  'thaw',
  'cut',
  'heal',
  'propose',
  'propose',
  'query',
  'query',
] as const;

/** One step; `first` and `second` choose among what is there. */
export interface Step {
  readonly kind: (typeof stepKinds)[number];
  readonly first: number;
  readonly second: number;
}

/** Interval of one `run` step, in milliseconds. */
const RUN_MILLISECONDS = 40;

/** Most deliveries in one `run` step. */
const RUN_DELIVERIES = 200;

/** A group of replicas with a network, disks and clocks that fail as told. */
export interface Simulation {
  step(step: Step): void;
  /** Heals everything and runs until a command is committed; fails if it never is. */
  settle(rounds: number): boolean;
  readonly committed: number;
}

/** Creates a group; every violated invariant throws. */
export function createSimulation(durability: readonly boolean[], seed: number): Simulation {
  const random: SeededRandom = createSeededRandom(seed);
  const chosen: number[] = [];
  const leaders = new Map<number, string>();
  const acknowledged = { length: 0 };
  const queries = new Map<number, number>();
  const proposals = new Map<number, number>();
  const cuts = new Set<string>();
  const network: Travelling[] = [];
  let time = 0;
  let nextRequest = 1;

  const record = (position: number, command: number): void => {
    const known = chosen[position - 1];
    if (known === undefined && position === chosen.length + 1) chosen.push(command);
    else if (known !== command) {
      throw new Error(`place ${position} held ${known} and now ${command}`);
    }
  };
  const names = durability.map((_durable, place) => `s${place}`);
  const clock = (slot: Slot): number => time * slot.clockRate;
  const blank = (name: string, durable: boolean, incarnation: number): Member => ({
    id: memberId(name, String(incarnation).padStart(6, '0')),
    durable,
  });
  const boot = (slot: Slot): void => {
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
  const slots = durability.map((durable, place): Slot => {
    const name = names[place] ?? '';
    const self = blank(name, durable, 1);
    const clockRate = 1 + (random.next() * 2 - 1) * simulationTiming.driftBound;
    const slot = { name, durable, clockRate, incarnation: 1, self, stored: null, unsynced: [] };
    const whole: Slot = { ...slot, frozen: false, replica: undefined as unknown as Replica };
    boot(whole);
    return whole;
  });

  const noteLeader = (slot: Slot): void => {
    const status = slot.replica.status();
    if (status.role !== 'leader') return;
    const known = leaders.get(status.term) ?? slot.self.id;
    if (known !== slot.self.id) {
      throw new Error(`term ${status.term} has the leaders ${known} and ${slot.self.id}`);
    }
    leaders.set(status.term, slot.self.id);
  };
  const onAnswer = (effect: Extract<ReplicaEffect, { readonly kind: 'answer' }>): void => {
    if (effect.outcome.kind === 'failure') return;
    const length = effect.outcome.value as number;
    const floor = queries.get(effect.requestId);
    if (floor !== undefined && length < floor) {
      throw new Error(`a query answered ${length} after ${floor} were acknowledged`);
    }
    const command = proposals.get(effect.requestId);
    if (command !== undefined && chosen[length - 1] !== command) {
      throw new Error(`the proposal of ${command} was answered with another place`);
    }
    acknowledged.length = Math.max(acknowledged.length, length);
  };
  const carryOut = (slot: Slot, effects: readonly ReplicaEffect[]): void => {
    for (const effect of effects) {
      if (effect.kind === 'persist') {
        slot.unsynced.push(effect);
      } else if (effect.kind === 'send') {
        const message = structuredClone(effect.message);
        network.push({ fromSlot: slot.name, toSlot: effect.slot, message });
      } else if (effect.kind === 'answer') onAnswer(effect);
    }
    noteLeader(slot);
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
    if (last > 0) carryOut(slot, slot.replica.persisted(last, clock(slot)));
  };
  const tick = (slot: Slot): void => {
    if (!slot.frozen) carryOut(slot, slot.replica.tick(clock(slot)));
  };
  const linkOf = (from: string, to: string): string => `${from}>${to}`;
  const deliver = (place: number, keep: boolean): void => {
    const [travelling] = keep ? network.slice(place, place + 1) : network.splice(place, 1);
    if (travelling === undefined) return;
    const slot = slots.find((candidate) => candidate.name === travelling.toSlot);
    if (slot === undefined || cuts.has(linkOf(travelling.fromSlot, travelling.toSlot))) return;
    if (slot.frozen) {
      network.push(travelling);
      return;
    }
    carryOut(slot, slot.replica.receive(structuredClone(travelling.message), clock(slot)));
  };
  const advance = (milliseconds: number): void => {
    time += milliseconds;
    slots.forEach(tick);
  };
  const run = (milliseconds: number): void => {
    advance(milliseconds / 2);
    for (let count = 0; count < RUN_DELIVERIES && network.length > 0; count += 1) deliver(0, false);
    for (const slot of slots) if (!slot.frozen) sync(slot);
    for (let count = 0; count < RUN_DELIVERIES && network.length > 0; count += 1) deliver(0, false);
    advance(milliseconds / 2);
  };
  const restart = (slot: Slot, wiped: boolean, survivors: number): void => {
    store(slot, survivors);
    slot.unsynced = [];
    slot.frozen = false;
    if (wiped || !slot.durable || slot.stored === null) {
      slot.stored = null;
      slot.incarnation += 1;
      slot.self = blank(slot.name, slot.durable, slot.incarnation);
    }
    boot(slot);
  };
  const propose = (slot: Slot): void => {
    const requestId = nextRequest++;
    proposals.set(requestId, requestId);
    carryOut(slot, slot.replica.propose(requestId, requestId, clock(slot)));
  };
  const query = (slot: Slot): void => {
    const requestId = nextRequest++;
    queries.set(requestId, acknowledged.length);
    carryOut(slot, slot.replica.query(requestId, 'length', clock(slot)));
  };
  const leading = (choice: number): Slot | undefined => {
    const all = slots.filter((slot) => !slot.frozen && slot.replica.status().role === 'leader');
    return all[choice % Math.max(1, all.length)];
  };

  const handlers: Readonly<Record<Step['kind'], (slot: Slot, step: Step) => void>> = {
    run: () => {
      run(RUN_MILLISECONDS);
    },
    advance: (_slot, { second }) => {
      advance(second % simulationTiming.electionMilliseconds);
    },
    deliver: (_slot, { second }) => {
      deliver(second % Math.max(1, network.length), false);
    },
    drop: (_slot, { second }) => {
      network.splice(second % Math.max(1, network.length), 1);
    },
    double: (_slot, { second }) => {
      deliver(second % Math.max(1, network.length), true);
    },
    sync: (slot) => {
      if (!slot.frozen) sync(slot);
    },
    crash: (slot, { second }) => {
      restart(slot, false, second % (slot.unsynced.length + 1));
    },
    wipe: (slot) => {
      restart(slot, true, 0);
    },
    freeze: (slot) => {
      slot.frozen = true;
    },
    thaw: (slot) => {
      slot.frozen = false;
    },
    cut: (slot, { second }) => {
      cuts.add(linkOf(slot.name, names[second % names.length] ?? ''));
      cuts.add(linkOf(names[second % names.length] ?? '', slot.name));
    },
    heal: () => {
      cuts.clear();
    },
    propose: (_slot, { second }) => {
      const leader = leading(second);
      if (leader !== undefined) propose(leader);
    },
    query: (_slot, { second }) => {
      const leader = leading(second);
      if (leader !== undefined) query(leader);
    },
  };

  const found = (): void => {
    const membership = { voters: slots.map((slot) => slot.self), learners: [] };
    for (const slot of slots) {
      carryOut(slot, slot.replica.found('founding', membership, clock(slot)));
      sync(slot);
    }
  };
  found();

  return {
    step: (step) => {
      const slot = slots[step.first % slots.length];
      if (slot !== undefined) handlers[step.kind](slot, step);
    },
    settle: (rounds) => {
      cuts.clear();
      for (const slot of slots) slot.frozen = false;
      const before = acknowledged.length;
      for (let round = 0; round < rounds && acknowledged.length === before; round += 1) {
        run(RUN_MILLISECONDS);
        const leader = leading(0);
        if (leader !== undefined) propose(leader);
      }
      return acknowledged.length > before;
    },
    get committed() {
      return chosen.length;
    },
  };
}
