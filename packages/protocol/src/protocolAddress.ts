/** IP number and port of a process. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Text form `host:port`, also used as a key. */
export function formatAddress(address: Address): string {
  return `${address.host}:${address.port}`;
}

/** Roles that a daemon can have. */
export type Role = 'entry' | 'control' | 'agent';

/** How a process introduces itself on each connection. */
export interface PeerIdentity {
  /** Name from the settings; stays the same over restarts. */
  readonly name: string;
  /** Differs with each start of the process. */
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly roles: readonly Role[];
}
