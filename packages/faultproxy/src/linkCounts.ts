import type { LinkMachine } from './linkMachine.js';

/** Bytes that the proxy has delivered. */
export interface LinkCounts {
  readonly connections: number;
  readonly bytes: number;
  /** By machine that sent them. */
  readonly sentByMachine: Readonly<Record<string, number>>;
  /** By machine that received them. */
  readonly receivedByMachine: Readonly<Record<string, number>>;
  /** By `region>region`, where the two differ. */
  readonly betweenRegions: Readonly<Record<string, number>>;
  /** Processor time of the proxy's process, in milliseconds. */
  readonly processorMilliseconds: number;
}

/** Counts bytes as they are delivered. */
export interface LinkCounter {
  addConnection(): void;
  add(from: LinkMachine, to: LinkMachine, bytes: number): void;
  counts(): LinkCounts;
}

const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Creates a counter at zero. */
export function createLinkCounter(): LinkCounter {
  const sentByMachine: Record<string, number> = {};
  const receivedByMachine: Record<string, number> = {};
  const betweenRegions: Record<string, number> = {};
  let connections = 0;
  let total = 0;
  const add = (table: Record<string, number>, key: string, bytes: number): void => {
    table[key] = (table[key] ?? 0) + bytes;
  };
  return {
    addConnection: () => {
      connections += 1;
    },
    add: (from, to, bytes) => {
      total += bytes;
      add(sentByMachine, from.name, bytes);
      add(receivedByMachine, to.name, bytes);
      if (from.region !== to.region) add(betweenRegions, `${from.region}>${to.region}`, bytes);
    },
    counts: () => {
      const { user, system } = process.cpuUsage();
      return {
        connections,
        bytes: total,
        sentByMachine: { ...sentByMachine },
        receivedByMachine: { ...receivedByMachine },
        betweenRegions: { ...betweenRegions },
        processorMilliseconds: (user + system) / MICROSECONDS_PER_MILLISECOND,
      };
    },
  };
}
