import { createClientMemory, type ClientMemory } from '@burdockrail/limits/clientMemory.js';
import { createClientTurns, type ClientTurns } from './clientTurns.js';
import type { MachineLimits } from './gatewaySettings.js';

/** Part of a machine's memory for everything that clients make a process hold. */
const CLIENT_MEMORY_FRACTION = 0.15;

const BYTES_PER_MEGABYTE = 1_000_000;

/** What the connections of all clients of a process share. */
export interface ClientGuard {
  readonly memory: ClientMemory;
  readonly turns: ClientTurns;
}

/** Creates the guard of a process without clients. */
export function createClientGuard({ memoryMegabytes }: MachineLimits): ClientGuard {
  return {
    memory: createClientMemory(memoryMegabytes * BYTES_PER_MEGABYTE * CLIENT_MEMORY_FRACTION),
    turns: createClientTurns(),
  };
}
