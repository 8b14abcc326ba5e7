/** A machine whose links the proxy carries. */
export interface LinkMachine {
  readonly name: string;
  /** IP number; connections from it are taken as the machine's. */
  readonly host: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Rate at which the machine can send over all connections, in bytes a second. */
  readonly egressBytesPerSecond?: number;
  /** Rate at which the machine can receive over all connections, in bytes a second. */
  readonly ingressBytesPerSecond?: number;
}

/** IP number and port. */
export interface LinkAddress {
  readonly host: string;
  readonly port: number;
}

/** A port on which the proxy stands in for a machine's own. */
export interface LinkListener {
  readonly machine: string;
  readonly listen: LinkAddress;
  readonly target: LinkAddress;
}

/** Machine of connections from an IP number that the proxy was not told of. */
export const unknownMachine: LinkMachine = {
  name: 'unknown',
  host: '0.0.0.0',
  dataCentre: 'outside',
  region: 'outside',
};
