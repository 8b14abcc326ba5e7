import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { randomInt } from 'node:crypto';
import type { Address } from '@burdockrail/protocol/protocolAddress.js';

/** Second parts of loopback addresses that systems choose from, so that they don't meet. */
const FIRST_NETWORK = 16;
const LAST_NETWORK = 250;

/** Third part of the addresses of the origin, the weight store and callers. */
const SURROUNDINGS = 200;

/** Loopback addresses of one system: one IP number for each machine. */
export interface AddressPlan {
  /** IP number of a machine by the number of its data centre and its own; both start at 0. */
  machineHost(dataCentre: number, machine: number): string;
  readonly originHost: string;
  readonly storeHost: string;
  readonly callerHost: string;
}

/** Picks a network in 127.0.0.0/8 at random. */
export function createAddressPlan(): AddressPlan {
  const network = randomInt(FIRST_NETWORK, LAST_NETWORK);
  const surroundings = (number: number): string => `127.${network}.${SURROUNDINGS}.${number}`;
  return {
    machineHost: (dataCentre, machine) => `127.${network}.${dataCentre + 1}.${machine + 1}`,
    originHost: surroundings(1),
    storeHost: surroundings(2),
    callerHost: surroundings(3),
  };
}

/** Finds a port that is free on an IP number now. */
export async function freeAddress(host: string): Promise<Address> {
  const server = createServer();
  server.listen(0, host);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const closed = once(server, 'close');
  server.close();
  await closed;
  return { host, port };
}
