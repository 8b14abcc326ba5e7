import { createClientMemory, type ClientMemory } from '@burdockrail/limits/clientMemory.js';
import { createClientTurns, type ClientTurns } from './clientTurns.js';

/** Bodies in small parts that are read at the same time; each part costs processor time. */
const MAXIMUM_SMALL_PART_BODIES = 8;

/**
 * Connections that stay open for a time behind the answer to a refused request; each keeps the head
 * of that request.
 */
const MAXIMUM_LINGERING = 64;

/** Of these, connections whose input is not read any more. */
const MAXIMUM_LINGERING_UNREAD = 8;

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
  readonly lingeringUnread: ClientPlaces;
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

/**
 * Creates the guard of a process without clients.
 *
 * @param memoryBytes - memory for everything that clients make the process hold.
 */
export function createClientGuard(memoryBytes: number): ClientGuard {
  return {
    memory: createClientMemory(memoryBytes),
    turns: createClientTurns(),
    smallPartBodies: createPlaces(MAXIMUM_SMALL_PART_BODIES),
    lingering: createPlaces(MAXIMUM_LINGERING),
    lingeringUnread: createPlaces(MAXIMUM_LINGERING_UNREAD),
  };
}
