import type { Address } from '@burdockrail/protocol/protocolAddress.js';
import type { RetryAllowance } from '@burdockrail/limits/sharedRetryBudget.js';

/** Settings of a gateway process. */
export interface GatewaySettings {
  readonly name: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Region of each data centre. */
  readonly regions: Readonly<Record<string, string>>;
  /** Local IP address for outgoing connections. */
  readonly localAddress: string;
  /** Internal addresses of control processes to contact first. */
  readonly seeds: readonly Address[];
  /** True only when the whole deployment starts for the first time. */
  readonly firstStart: boolean;
  readonly entry: EntrySettings | null;
  readonly control: ControlSettings | null;
  readonly agent: AgentSettings | null;
  readonly metrics: Address;
  readonly machine: MachineLimits;
  readonly bounds: GatewayBounds;
}

/** What a process may use of its machine. */
export interface MachineLimits {
  /** Resident memory and bytes that have arrived but have not been read, in megabytes. */
  readonly memoryMegabytes: number;
  readonly descriptors: number;
}

/** Addresses of an entry. */
export interface EntrySettings {
  readonly listen: Address;
  /** Address of the health check for load balancers. */
  readonly status: Address;
}

/** Addresses and data folder of a control process. */
export interface ControlSettings {
  readonly listen: Address;
  readonly internal: Address;
  readonly dataFolder: string;
  /** Time after which a machine that is new or back no longer counts as lost, in milliseconds. */
  readonly catchUpMilliseconds: number;
}

/** Addresses of an agent and of the engine on the same machine. */
export interface AgentSettings {
  readonly internal: Address;
  readonly engine: Address;
  readonly service: string;
  /** Bandwidth of the machine's link in each direction, in megabits per second. */
  readonly linkMegabits: number;
}

/** Time limits and retry allowance that the deployment guarantees to its users. */
export interface GatewayBounds {
  /** Interval of an upstream's heartbeats, in milliseconds. */
  readonly heartbeatMilliseconds: number;
  /** Time after which a revoked key must no longer be accepted, in milliseconds. */
  readonly revocationMilliseconds: number;
  /** Time after which only the newest named version of weights may be served, in milliseconds. */
  readonly versionMilliseconds: number;
  /** Grace period between the stop signal and the kill, in milliseconds. */
  readonly graceMilliseconds: number;
  readonly retries: RetryAllowance;
}
