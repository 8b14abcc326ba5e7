import type { EnginePerformance } from '@burdockrail/limits/slotRequest.js';
import type { PassSettings } from '@burdockrail/standins/enginePasses.js';
import type { StreamArrival } from './replayTraffic.js';

/** Which component routes requests to engines. */
export type RoutingMode =
  /** Entries claim slots from the engines' agents, which own them. */
  | 'agents'
  /** The same, but through one dispatcher per data centre. */
  | 'dispatchers'
  /** Each entry decides alone, from loads that engines report periodically. */
  | 'alone';

/** Simulated fleet that arrivals are replayed on. */
export interface ReplayFleet {
  readonly routingMode: RoutingMode;
  readonly entries: number;
  readonly dataCentres: number;
  readonly engines: readonly ServingPeriod[];
  /** Times at which engines load other weights, in seconds; empty for none. */
  readonly loadsAtSeconds: readonly number[];
  readonly performance: EnginePerformance;
  readonly passes: PassSettings;
  /** One-way latency of a message within and between data centres, including its handling. */
  readonly localLatencyMilliseconds: number;
  readonly remoteLatencyMilliseconds: number;
  /** Interval of the engines' load reports and their age on arrival, in milliseconds. */
  readonly reportMilliseconds: number;
  /** Longest wait of a claim at an agent, in milliseconds. */
  readonly longestWaitMilliseconds: number;
  /** Deadline of callers' requests, in milliseconds. */
  readonly deadlineMilliseconds: number;
  /** Limits that engines name, and since when; none by default. */
  readonly limits?: readonly ReplayLimit[];
  /** Whether entries keep requests that crash engines away from them; true by default. */
  readonly quarantines?: boolean;
  /** Retries of a caller after refusals. */
  readonly maximumRetries: number;
  readonly seed: number;
}

/** Time during which an engine serves. */
export interface ServingPeriod {
  readonly fromSecond: number;
  readonly untilSecond: number;
}

/** Limit that an engine names. */
export interface ReplayLimit {
  /** Position of the engine in the fleet. */
  readonly engine: number;
  readonly requestsPerSecond: number;
  readonly fromSecond: number;
}

/** Outcome of one caller's request. */
export interface ReplayResult {
  readonly arrival: StreamArrival;
  readonly outcome: 'onTime' | 'late' | 'refused';
  /** Time from the first attempt to the first event, in milliseconds; `null` without one. */
  readonly firstMilliseconds: number | null;
  /** Longest time until an attempt was refused, in milliseconds. */
  readonly refusalMilliseconds: number;
  readonly refusals: number;
  /** Times at which the request was sent to engines, with the position of each. */
  readonly sent: readonly { readonly engine: string; readonly at: number }[];
}
