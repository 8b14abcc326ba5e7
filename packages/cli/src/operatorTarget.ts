import { isIP } from 'node:net';
import { ResultError } from '@burdockrail/common/outcome.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { formatAddress, type Address } from '@burdockrail/protocol/protocolAddress.js';

/** A process that the command line calls. */
export interface OperatorTarget {
  /** Name from the profile, or the address if it was given by a flag. */
  readonly name: string;
  /** Unknown for targets from flags. */
  readonly dataCentre?: string;
  /** Address of the port for calls between processes. */
  readonly address: Address;
}

/** The processes that the command line calls, by purpose. */
export interface OperatorTargets {
  /** Control processes: read and apply configurations, form groups. */
  readonly control: readonly OperatorTarget[];
  /** Entries: list the membership. */
  readonly entries: readonly OperatorTarget[];
  /** HTTP ports of entries: read request outcomes and metrics. */
  readonly http: readonly Address[];
}

const MAXIMUM_PORT = 65_535;

/** Parses `host:port`; IPv6 addresses are written in square brackets. */
export function parseAddress(text: string): Address {
  const separator = text.lastIndexOf(':');
  const host = text.slice(0, separator).replace(/^\[(.*)\]$/u, '$1');
  const port = Number(text.slice(separator + 1));
  if (isIP(host) === 0 || !Number.isInteger(port) || port < 1 || port > MAXIMUM_PORT) {
    throw new ResultError(
      ResultCode.ProfileInvalid,
      `expected an IP address and port such as 10.0.0.1:7100, found ${text}`,
    );
  }
  return { host, port };
}

/** Parses a comma-separated list of addresses. */
export function parseAddresses(text: string): readonly Address[] {
  return text.split(',').map((part) => parseAddress(part.trim()));
}

/** Creates targets from the addresses of a flag, without process names. */
export function createTargets(addresses: readonly Address[]): readonly OperatorTarget[] {
  return addresses.map((address) => ({ name: formatAddress(address), address }));
}

/** Returns all control and entry targets, each address once. */
export function allTargets(targets: OperatorTargets): readonly OperatorTarget[] {
  const byAddress = new Map<string, OperatorTarget>();
  for (const target of [...targets.control, ...targets.entries]) {
    const key = formatAddress(target.address);
    if (!byAddress.has(key)) byAddress.set(key, target);
  }
  return [...byAddress.values()];
}
