/** A machine whose links pass through the proxy. */
export interface LinkMachine {
  readonly name: string;
  /** IP address; connections from it are attributed to the machine. */
  readonly host: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Total rate at which the machine can send, in bytes per second. */
  readonly egressBytesPerSecond?: number;
  /** Total rate at which the machine can receive, in bytes per second. */
  readonly ingressBytesPerSecond?: number;
}

/** IP address and port. */
export interface LinkAddress {
  readonly host: string;
  readonly port: number;
}

/** Address on which the proxy accepts connections to a machine. */
export interface LinkListener {
  readonly machine: string;
  readonly listen: LinkAddress;
  readonly target: LinkAddress;
}

/** Machine of connections from an unknown IP address. */
export const unknownMachine: LinkMachine = {
  name: 'unknown',
  host: '0.0.0.0',
  dataCentre: 'outside',
  region: 'outside',
};
