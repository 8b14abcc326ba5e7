/** IP address and port of a process. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Formats an address as `host:port`; also used as a map key. */
export function formatAddress(address: Address): string {
  return `${address.host}:${address.port}`;
}

const HIGHEST_PORT = 65_535;

const ipv4Pattern = /^(?:(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(?:\.(?!$)|$)){4}$/u;

/** True for a port to which a connection can be opened. */
export function isPort(value: unknown): value is number {
  return Number.isInteger(value) && Number(value) > 0 && Number(value) <= HIGHEST_PORT;
}

/** True for `host:port` with an IPv4 address and a port to which a connection can be opened. */
export function isHostAndPort(text: unknown): text is string {
  if (typeof text !== 'string') return false;
  const colon = text.indexOf(':');
  const port = text.slice(colon + 1);
  return (
    colon > 0 &&
    ipv4Pattern.test(text.slice(0, colon)) &&
    /^[1-9]\d{0,4}$/u.test(port) &&
    isPort(Number(port))
  );
}

/** Roles of a daemon. */
export type Role = 'entry' | 'control' | 'agent';

/** Identity that a process sends at the start of each connection. */
export interface PeerIdentity {
  /** Name from the settings; unchanged by restarts. */
  readonly name: string;
  /** Unique to each start of the process. */
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly roles: readonly Role[];
}
