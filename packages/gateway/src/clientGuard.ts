import type { TimeSource } from '@burdockrail/common/timeSource.js';
import { createClientMemory, type ClientMemory } from '@burdockrail/limits/clientMemory.js';
import type { PeerServerBounds } from '@burdockrail/transport/peerServer.js';
import { createClientTurns, type ClientTurns } from './clientTurns.js';
import type { MachineLimits } from './gatewaySettings.js';

/** Part of a machine's memory for everything that clients make a process hold. */
const CLIENT_MEMORY_FRACTION = 0.15;

/** Part of a machine's memory for messages of other processes that have not arrived completely. */
const FRAME_MEMORY_FRACTION = 0.15;

/** Descriptors of a process that are kept for files. */
const FILE_DESCRIPTORS = 200;

/** Parts of the other descriptors that the connections of one server may take. */
const connectionFractions = { callers: 0.6, status: 0.05, metrics: 0.05, peers: 0.2 } as const;

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
  /** Bounds of the server for other processes; anybody may connect to its port. */
  peerBounds(time: TimeSource): PeerServerBounds;
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
  const machineBytes = memoryMegabytes * BYTES_PER_MEGABYTE;
  const frameMemory = createClientMemory(machineBytes * FRAME_MEMORY_FRACTION);
  const maximumConnections = (server: ClientServerName): number =>
    Math.max(1, Math.floor(sockets * connectionFractions[server]));
  return {
    memory: createClientMemory(machineBytes * CLIENT_MEMORY_FRACTION),
    turns: createClientTurns(),
    smallPartBodies: createPlaces(MAXIMUM_SMALL_PART_BODIES),
    lingering: createPlaces(MAXIMUM_LINGERING),
    maximumConnections,
    peerBounds: (time) => ({
      maximumConnections: maximumConnections('peers'),
      openAccount: (evict) => {
        const account = frameMemory.open(time.now());
        account.setEviction(evict);
        return {
          tryReserve: (bytes) => {
            account.progressed(time.now());
            return account.tryReserve(bytes, time.now());
          },
          release: (bytes) => {
            account.release(bytes);
          },
          close: () => {
            account.close();
          },
        };
      },
    }),
  };
}
