import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { randomInt } from 'node:crypto';
import type { Address } from '@burdockrail/protocol/protocolAddress.js';

/**
 * Range of the second octet of a system's loopback addresses; the end is exclusive. Each system
 * picks one at random, so that systems running at the same time do not share addresses.
 */
const NETWORK_OCTET_START = 16;
const NETWORK_OCTET_END = 250;

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

/** Finds a port of a host that is currently free. */
export async function findFreeAddress(host: string): Promise<Address> {
  const server = createServer();
  server.listen(0, host);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const closed = once(server, 'close');
  server.close();
  await closed;
  return { host, port };
}
