import type { Address } from '@burdockrail/protocol/protocolAddress.js';
import type { RetryAllowance } from '@burdockrail/limits/sharedRetryBudget.js';

/** What a process of the gateway learns when it starts. */
export interface GatewaySettings {
  readonly name: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Region of each data centre. */
  readonly regions: Readonly<Record<string, string>>;
  /** IP number that this process uses for its own connections. */
  readonly host: string;
  /** Internal addresses of some control processes. */
  readonly seeds: readonly Address[];
  /** True only when the whole system starts for the first time. */
  readonly firstStart: boolean;
  readonly entry: EntrySettings | null;
  readonly control: ControlSettings | null;
  readonly agent: AgentSettings | null;
  readonly metrics: Address;
  readonly bounds: GatewayBounds;
}

/** Where an entry takes requests. */
export interface EntrySettings {
  readonly listen: Address;
  /** Address that tells a balancer whether the entry wants new connections. */
  readonly status: Address;
}

/** Where a control process takes heartbeats and orders, and keeps its state. */
export interface ControlSettings {
  readonly listen: Address;
  readonly internal: Address;
  readonly dataFolder: string;
}

/** The engine that an agent stands beside. */
export interface AgentSettings {
  readonly internal: Address;
  readonly engine: Address;
  readonly service: string;
  /** Bandwidth of the machine's link each way, in megabits a second. */
  readonly linkMegabits: number;
}

/** Times and amounts that the deployment promises to its users. */
export interface GatewayBounds {
  /** Interval of an upstream's heartbeats, in milliseconds. */
  readonly heartbeatMilliseconds: number;
  /** Time within which a key that was taken away must not work, in milliseconds. */
  readonly revocationMilliseconds: number;
  /** Time within which a named version of weights is the only one served, in milliseconds. */
  readonly versionMilliseconds: number;
  /** Time between the order to stop and the kill, in milliseconds. */
  readonly graceMilliseconds: number;
  readonly retries: RetryAllowance;
}
