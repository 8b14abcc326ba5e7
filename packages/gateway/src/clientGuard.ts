import { createClientTurns, type ClientTurns } from './clientTurns.js';

/** What the connections of all clients of a process share. */
export interface ClientGuard {
  readonly turns: ClientTurns;
}

/** Creates the guard of a process without clients. */
export function createClientGuard(): ClientGuard {
  return { turns: createClientTurns() };
}
