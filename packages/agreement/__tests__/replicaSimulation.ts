import { createSeededRandom, type SeededRandom } from '@burdockrail/common/seededRandom.js';
import { memberId, type Member } from '../src/groupMembership.js';
import { createReplica, type Replica } from '../src/replica.js';
import type { ReplicaEffect, StoredRecord, StoredReplica } from '../src/replicaEffect.js';
import type { ReplicaMessage } from '../src/replicaMessage.js';
import type { ReplicaTiming } from '../src/replicaTiming.js';
import { applyStoredRecord } from '../src/storedReplica.js';
import { createListState } from './listState.js';
import { calm, weathers, type Step } from './simulationSteps.js';

/** Small bounds, so that short schedules reach snapshots and elections. */
export const simulationTiming: ReplicaTiming = {
  heartbeatMilliseconds: 50,
  electionMilliseconds: 200,
  driftBound: 0.1,
  snapshotRetryMilliseconds: 300,
  entriesPerSnapshot: 6,
  entriesKept: 2,
  answersUnderLease: true,
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
  /** Times that the message was doubled on its way. */
  readonly doublings: number;
}

/**
 * Most doublings of one message: without a bound, messages to a frozen replica multiply for as long as
 * it is frozen, and a schedule may never end.
 */
const MAXIMUM_DOUBLINGS = 3;

/** Longest time of one turn, in milliseconds. */
const TURN_MILLISECONDS = 40;

/** One of so many steps that would wipe a disk does, because groups seldom outlive two. */
const WIPE_RARITY = 4;

/** Rounds of deliveries in one turn, so that a message and its answer can both arrive. */
const TURN_ROUNDS = 3;

/** A group of replicas with a network, disks and clocks that fail as told. */
export interface Simulation {
  step(step: Step): void;
  /** Heals everything and runs until a command is committed; tells whether one was. */
  settle(turns: number): boolean;
  /** True while every member that may have to vote has kept what it stored. */
  readonly recoverable: boolean;
  readonly committed: number;
  readonly elections: number;
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
  let network: Travelling[] = [];
  let weather = calm;
  let time = 0;
  let nextRequest = 1;
  let wiped = false;

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
    const clockRate = 1 + (random.below(3) - 1) * simulationTiming.driftBound;
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
      if (effect.kind === 'persist') slot.unsynced.push(effect);
      else if (effect.kind === 'answer') onAnswer(effect);
      else if (effect.kind === 'send') {
        const { slot: toSlot, message } = effect;
        network.push({ fromSlot: slot.name, toSlot, message, doublings: 0 });
      }
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
  const linkOf = (from: string, to: string): string => `${from}>${to}`;
  const receive = (item: Travelling): void => {
    const { fromSlot, toSlot, message } = item;
    const slot = slots.find((candidate) => candidate.name === toSlot);
    if (slot === undefined || cuts.has(linkOf(fromSlot, toSlot))) return;
    if (slot.frozen) network.push(item);
    else carryOut(slot, slot.replica.receive(message, clock(slot)));
  };
  const deliverSome = (): void => {
    const travelling = network;
    network = [];
    for (const item of travelling) {
      if (random.next() < weather.lost) continue;
      const isDoubled = random.next() < weather.doubled && item.doublings < MAXIMUM_DOUBLINGS;
      const onward = isDoubled ? { ...item, doublings: item.doublings + 1 } : item;
      if (isDoubled) network.push(onward);
      if (random.next() < weather.delivered) receive(onward);
      else network.push(onward);
    }
  };
  const syncSome = (): void => {
    for (const slot of slots) {
      if (!slot.frozen && random.next() < weather.synced) sync(slot);
    }
  };
  const advance = (milliseconds: number): void => {
    time += milliseconds;
    for (const slot of slots) {
      if (!slot.frozen) carryOut(slot, slot.replica.tick(clock(slot)));
    }
  };
  const turn = (milliseconds: number): void => {
    advance(milliseconds);
    for (let round = 0; round < TURN_ROUNDS; round += 1) {
      deliverSome();
      syncSome();
    }
  };
  const restart = (slot: Slot, wipe: boolean, survivors: number): void => {
    store(slot, survivors);
    slot.unsynced = [];
    slot.frozen = false;
    if (wipe) wiped = true;
    if (wipe || !slot.durable || slot.stored === null) {
      slot.stored = null;
      slot.incarnation += 1;
      slot.self = blank(slot.name, slot.durable, slot.incarnation);
    }
    boot(slot);
  };
  const crash = (slot: Slot): void => {
    restart(slot, false, random.below(slot.unsynced.length + 1));
  };
  const leading = (): readonly Slot[] =>
    slots.filter((slot) => slot.replica.status().role === 'leader');
  const withLeader = (choice: number, act: (leader: Slot) => void): void => {
    const all = leading();
    const leader = all[choice % Math.max(1, all.length)];
    if (leader !== undefined) act(leader);
  };
  const propose = (slot: Slot): void => {
    if (slot.frozen) return;
    const requestId = nextRequest++;
    proposals.set(requestId, requestId);
    carryOut(slot, slot.replica.propose(requestId, requestId, clock(slot)));
  };
  const query = (slot: Slot): void => {
    if (slot.frozen) return;
    const requestId = nextRequest++;
    queries.set(requestId, acknowledged.length);
    carryOut(slot, slot.replica.query(requestId, 'length', clock(slot)));
  };
  const cutBetween = (left: Slot, right: Slot): void => {
    cuts.add(linkOf(left.name, right.name));
    cuts.add(linkOf(right.name, left.name));
  };
  const isolate = (slot: Slot): void => {
    for (const other of slots) cutBetween(slot, other);
  };
  const thawAll = (): void => {
    for (const slot of slots) slot.frozen = false;
  };

  const handlers: Readonly<Record<Step['kind'], (slot: Slot, step: Step) => void>> = {
    turn: (_slot, { second }) => {
      turn(second % TURN_MILLISECONDS);
    },
    advance: (_slot, { second }) => {
      advance(second % simulationTiming.electionMilliseconds);
    },
    weather: (_slot, { second }) => {
      weather = weathers[second % weathers.length] ?? calm;
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
    wipe: (slot, { second }) => {
      if (second % WIPE_RARITY === 0) restart(slot, true, 0);
    },
    freezeLeader: (_slot, { second }) => {
      withLeader(second, (leader) => {
        leader.frozen = true;
      });
    },
    thaw: thawAll,
    isolate,
    isolateLeader: (_slot, { second }) => {
      withLeader(second, isolate);
    },
    cutOneWay: (slot, { second }) => {
      cuts.add(linkOf(slot.name, names[second % names.length] ?? ''));
    },
    split: (_slot, { second }) => {
      const isLeft = (place: number): boolean => ((second >> place) & 1) === 1;
      slots.forEach((left, place) => {
        if (isLeft(place))
          slots
            .filter((_s, other) => !isLeft(other))
            .forEach((right) => {
              cutBetween(left, right);
            });
      });
    },
    heal: () => {
      cuts.clear();
    },
    propose: (_slot, { second }) => {
      withLeader(second, propose);
    },
    query: () => {
      leading().forEach(query);
    },
  };

  const membership = { voters: slots.map((slot) => slot.self), learners: [] };
  for (const slot of slots) {
    carryOut(slot, slot.replica.found('founding', membership, clock(slot)));
    sync(slot);
  }

  return {
    step: (step) => {
      const slot = slots[step.first % slots.length];
      if (slot !== undefined) handlers[step.kind](slot, step);
    },
    settle: (turns) => {
      cuts.clear();
      thawAll();
      weather = calm;
      const before = acknowledged.length;
      for (let count = 0; count < turns && acknowledged.length === before; count += 1) {
        turn(TURN_MILLISECONDS);
        leading().forEach(propose);
      }
      return acknowledged.length > before;
    },
    get recoverable() {
      return !wiped;
    },
    get committed() {
      return chosen.length;
    },
    get elections() {
      return leaders.size;
    },
  };
}
