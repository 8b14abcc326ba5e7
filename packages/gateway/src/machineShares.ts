import type { TimeSource } from '@burdockrail/common/timeSource.js';
import { createClientGuard, type ClientGuard } from '@burdockrail/ingress/clientGuard.js';
import { createClientMemory } from '@burdockrail/limits/clientMemory.js';
import type { PeerServerBounds } from '@burdockrail/transport/peerServer.js';
import type { MachineLimits } from './gatewaySettings.js';

/** Part of a machine's memory for everything that clients make a process hold. */
const CLIENT_MEMORY_FRACTION = 0.15;

/** Part of a machine's memory for messages of other processes that have not arrived completely. */
const FRAME_MEMORY_FRACTION = 0.15;

/** Descriptors of a process that are kept for files. */
const FILE_DESCRIPTORS = 200;

/** Parts of the other descriptors that the connections of one server may take. */
const connectionFractions = { callers: 0.6, status: 0.05, metrics: 0.05, peers: 0.2 } as const;

const BYTES_PER_MEGABYTE = 1_000_000;

/** Servers of a process, by who calls them. */
export type ServerName = keyof typeof connectionFractions;

/** What the servers of a process may take of its machine. */
export interface MachineShares {
  /** Shared by all HTTP servers of the process. */
  readonly guard: ClientGuard;
  maximumConnections(server: ServerName): number;
  /** Bounds of the server for other processes; anybody may connect to its port. */
  readonly peerBounds: PeerServerBounds;
}

/** Divides the memory and descriptors of a machine. */
export function createMachineShares(
  { memoryMegabytes, descriptors }: MachineLimits,
  time: TimeSource,
): MachineShares {
  const sockets = descriptors - FILE_DESCRIPTORS;
  const machineBytes = memoryMegabytes * BYTES_PER_MEGABYTE;
  const frameMemory = createClientMemory(machineBytes * FRAME_MEMORY_FRACTION);
  const maximumConnections = (server: ServerName): number =>
    Math.max(1, Math.floor(sockets * connectionFractions[server]));
  return {
    guard: createClientGuard(machineBytes * CLIENT_MEMORY_FRACTION),
    maximumConnections,
    peerBounds: {
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
    },
  };
}
