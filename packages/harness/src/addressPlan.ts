import { once } from 'node:events';
import { createServer } from 'node:net';
import { randomInt } from 'node:crypto';
import type { Address } from '@burdockrail/protocol/protocolAddress.js';

/**
 * Range of the second octet of a system's loopback addresses; the end is exclusive. Each system
 * picks one at random, so that systems running at the same time do not share addresses.
 */
const NETWORK_OCTET_START = 16;
const NETWORK_OCTET_END = 250;

/** Range of ports below those of outgoing connections; the end is exclusive. */
const PORT_START = 10_000;
const PORT_END = 32_768;

/** Third octet of the addresses of the origin, the weight store and callers. */
const EXTERNAL_HOSTS_OCTET = 200;

/** Loopback addresses of one system, one for each machine. */
export interface AddressPlan {
  /** Address of a machine by the index of its data centre and its index within it. */
  machineHost(dataCentre: number, machine: number): string;
  readonly originHost: string;
  readonly storeHost: string;
  readonly callerHost: string;
}

/** Picks a /16 network in 127.0.0.0/8 at random. */
export function createAddressPlan(): AddressPlan {
  const network = randomInt(NETWORK_OCTET_START, NETWORK_OCTET_END);
  const externalHost = (number: number): string =>
    `127.${network}.${EXTERNAL_HOSTS_OCTET}.${number}`;
  return {
    machineHost: (dataCentre, machine) => `127.${network}.${dataCentre + 1}.${machine + 1}`,
    originHost: externalHost(1),
    storeHost: externalHost(2),
    callerHost: externalHost(3),
  };
}

async function isFree(host: string, port: number): Promise<boolean> {
  const server = createServer();
  const isListening = new Promise<boolean>((resolve, reject) => {
    server.once('listening', () => {
      resolve(true);
    });
    server.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'EADDRINUSE') resolve(false);
      else reject(error);
    });
  });
  server.listen(port, host);
  if (!(await isListening)) return false;
  const closed = once(server, 'close');
  server.close();
  await closed;
  return true;
}

/** Addresses that `findFreeAddress` has returned, as `host:port`. */
const returnedAddresses = new Set<string>();

/**
 * Finds a port of a host that is currently free and that no earlier call returned.
 *
 * @remarks
 * The port stays free until the process that it is for listens on it: it is none that the kernel
 * gives to outgoing connections, which the machines of a system open from the same address.
 */
export async function findFreeAddress(host: string): Promise<Address> {
  for (;;) {
    const port = randomInt(PORT_START, PORT_END);
    const key = `${host}:${port}`;
    if (returnedAddresses.has(key)) continue;
    returnedAddresses.add(key);
    if (await isFree(host, port)) return { host, port };
  }
}
