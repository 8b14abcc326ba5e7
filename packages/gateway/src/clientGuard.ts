import { createClientMemory, type ClientMemory } from '@burdockrail/limits/clientMemory.js';
import { createClientTurns, type ClientTurns } from './clientTurns.js';
import type { MachineLimits } from './gatewaySettings.js';

/** Part of a machine's memory for everything that clients make a process hold. */
const CLIENT_MEMORY_FRACTION = 0.15;

/** Descriptors of a process that are kept for files. */
const FILE_DESCRIPTORS = 200;

/** Parts of the other descriptors that the connections of one server may take. */
const connectionFractions = { callers: 0.6, status: 0.05, metrics: 0.05 } as const;

/** Servers of a process, by who calls them. */
export type ClientServerName = keyof typeof connectionFractions;

/** Bodies in small parts that are read at the same time; each part costs processor time. */
const MAXIMUM_SMALL_PART_BODIES = 8;

/** Connections that stay open with input unread behind the answer to a refused request. */
const MAXIMUM_LINGERING = 8;

const BYTES_PER_MEGABYTE = 1_000_000;

/** Places for a kind of work that only few requests may make at the same time. */
export interface ClientPlaces {
  /** Takes a place; false if there is none. */
  tryTake(): boolean;
  giveBack(): void;
}

/** What the connections of all clients of a process share. */
export interface ClientGuard {
  readonly memory: ClientMemory;
  readonly turns: ClientTurns;
  readonly smallPartBodies: ClientPlaces;
  readonly lingering: ClientPlaces;
  maximumConnections(server: ClientServerName): number;
}

function createPlaces(maximum: number): ClientPlaces {
  let taken = 0;
  return {
    tryTake: () => {
      if (taken >= maximum) return false;
      taken += 1;
      return true;
    },
    giveBack: () => {
      taken -= 1;
    },
  };
}

/** Creates the guard of a process without clients. */
export function createClientGuard({ memoryMegabytes, descriptors }: MachineLimits): ClientGuard {
  const sockets = descriptors - FILE_DESCRIPTORS;
  return {
    memory: createClientMemory(memoryMegabytes * BYTES_PER_MEGABYTE * CLIENT_MEMORY_FRACTION),
    turns: createClientTurns(),
    smallPartBodies: createPlaces(MAXIMUM_SMALL_PART_BODIES),
    lingering: createPlaces(MAXIMUM_LINGERING),
    maximumConnections: (server) => Math.max(1, Math.floor(sockets * connectionFractions[server])),
  };
}
