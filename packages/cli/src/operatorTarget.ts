import { isIP } from 'node:net';
import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { formatAddress, type Address } from '@burdockrail/protocol/protocolAddress.js';

/** A process that the command line talks to. */
export interface OperatorTarget {
  /** Name from the profile, or the address where a flag gave it. */
  readonly name: string;
  /** Unknown for targets from flags. */
  readonly dataCentre?: string;
  /** Address for other processes. */
  readonly address: Address;
}

/** The processes that the command line talks to, by what they are asked for. */
export interface OperatorTargets {
  /** Control replicas: configurations and forming. */
  readonly control: readonly OperatorTarget[];
  /** Entries: the membership. */
  readonly entries: readonly OperatorTarget[];
  /** HTTP ports of entries: outcomes and metrics. */
  readonly http: readonly Address[];
}

const LARGEST_PORT = 65_535;

/** Reads `host:port`; IPv6 numbers stand in square brackets. */
export function parseAddress(text: string): Address {
  const separator = text.lastIndexOf(':');
  const host = text.slice(0, separator).replace(/^\[(.*)\]$/u, '$1');
  const port = Number(text.slice(separator + 1));
  if (isIP(host) === 0 || !Number.isInteger(port) || port < 1 || port > LARGEST_PORT) {
    throw new ResultError(
      ResultCode.ProfileInvalid,
      `expected an IP number and port such as 10.0.0.1:7100, found ${text}`,
    );
  }
  return { host, port };
}

/** Reads addresses separated by commas. */
export function parseAddresses(text: string): readonly Address[] {
  return text.split(',').map((part) => parseAddress(part.trim()));
}

/** Targets without names, from a flag. */
export function targetsOf(addresses: readonly Address[]): readonly OperatorTarget[] {
  return addresses.map((address) => ({ name: formatAddress(address), address }));
}

/** All targets that answer calls, each address once. */
export function allTargets(targets: OperatorTargets): readonly OperatorTarget[] {
  const byAddress = new Map<string, OperatorTarget>();
  for (const target of [...targets.control, ...targets.entries]) {
    const key = formatAddress(target.address);
    if (!byAddress.has(key)) byAddress.set(key, target);
  }
  return [...byAddress.values()];
}
