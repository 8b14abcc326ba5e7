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
  /** Engines that refuse requests and name the time of their rest; none by default. */
  readonly rests?: readonly ReplayRest[];
  /** Engines that say in their answers that they leave; none by default. */
  readonly departures?: readonly ReplayDeparture[];
  /** Times at which engines fall silent and go on; none by default. */
  readonly silences?: readonly ReplaySilence[];
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

/** An engine that refuses all requests for a time. */
export interface ReplayRest {
  /** Position of the engine in the fleet. */
  readonly engine: number;
  readonly fromSecond: number;
  readonly untilSecond: number;
  /** Time that each refusal names, in milliseconds. */
  readonly restMilliseconds: number;
}

/** An engine that leaves; entries learn it from the directory at the end of its serving period. */
export interface ReplayDeparture {
  /** Position of the engine in the fleet. */
  readonly engine: number;
  /** Time from which its answers say that it leaves. */
  readonly fromSecond: number;
}

/** An engine that sends nothing for a time and then goes on. */
export interface ReplaySilence {
  /** Position of the engine in the fleet. */
  readonly engine: number;
  readonly atSecond: number;
  readonly milliseconds: number;
}

/** A request that reached an engine; the time is in milliseconds. */
export interface ReplaySending {
  readonly engine: string;
  readonly entry: number;
  readonly at: number;
}

/** What an engine said of itself to an entry. */
export interface ReplayNotice {
  readonly kind: 'rests' | 'leaves';
  /** Positions of the engine and of the entry. */
  readonly engine: string;
  readonly entry: number;
  /** Time at which the engine answered. */
  readonly at: number;
  /** Time until which the engine wants no requests, in milliseconds. */
  readonly until: number;
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
  /** Times at which the request reached engines, with the positions of each and of the entry. */
  readonly sent: readonly ReplaySending[];
  /** What engines said of themselves in answers to it. */
  readonly notices: readonly ReplayNotice[];
}
