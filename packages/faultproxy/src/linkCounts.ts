import type { LinkMachine } from './linkMachine.js';

/** Connections and bytes that the proxy has delivered. */
export interface LinkCounts {
  readonly connections: number;
  readonly bytes: number;
  /** Bytes by sending machine. */
  readonly sentByMachine: Readonly<Record<string, number>>;
  /** Bytes by receiving machine. */
  readonly receivedByMachine: Readonly<Record<string, number>>;
  /** Bytes between different regions, by `region>region`. */
  readonly betweenRegions: Readonly<Record<string, number>>;
  /** Processor time of the proxy's process, in milliseconds. */
  readonly processorMilliseconds: number;
}

/** Counts connections and delivered bytes. */
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
  let totalBytes = 0;
  const add = (table: Record<string, number>, key: string, bytes: number): void => {
    table[key] = (table[key] ?? 0) + bytes;
  };
  return {
    addConnection: () => {
      connections += 1;
    },
    add: (from, to, bytes) => {
      totalBytes += bytes;
      add(sentByMachine, from.name, bytes);
      add(receivedByMachine, to.name, bytes);
      if (from.region !== to.region) add(betweenRegions, `${from.region}>${to.region}`, bytes);
    },
    counts: () => {
      const { user, system } = process.cpuUsage();
      return {
        connections,
        bytes: totalBytes,
        sentByMachine: { ...sentByMachine },
        receivedByMachine: { ...receivedByMachine },
        betweenRegions: { ...betweenRegions },
        processorMilliseconds: (user + system) / MICROSECONDS_PER_MILLISECOND,
      };
    },
  };
}
