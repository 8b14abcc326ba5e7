/** IP address and port of a process. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Formats an address as `host:port`; also used as a map key. */
export function formatAddress(address: Address): string {
  return `${address.host}:${address.port}`;
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
