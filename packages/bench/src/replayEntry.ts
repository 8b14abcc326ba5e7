import type { QuarantineState } from '@burdockrail/limits/quarantineState.js';
import { createUpstreamRest, type UpstreamRest } from '@burdockrail/limits/upstreamRest.js';
import {
  createLeavingUpstreams,
  type LeavingUpstreams,
} from '@burdockrail/membership/leavingUpstreams.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { EngineView } from '@burdockrail/routing/engineOrder.js';
import { createReplayQuarantine } from './replayCrashes.js';
import type { ReplayFleet, ReplayNotice } from './replayTypes.js';
import type { SimulatedEngine } from './simulatedEngine.js';

/** What an entry heard of an engine, and when. */
export interface EngineObservation {
  readonly taken: number;
  readonly load: number;
  /** True when the engine had no weights that may be served. */
  readonly unloaded: boolean;
  readonly at: Milliseconds;
}

/** What an entry, or a dispatcher, knows. */
export interface ReplayEntry {
  readonly dataCentre: string;
  readonly observations: Map<string, EngineObservation>;
  readonly ownRequests: Map<string, number>;
  readonly quarantine: QuarantineState;
  readonly rests: UpstreamRest;
  readonly leaving: LeavingUpstreams;
}

/** Time for which an entry skips an engine that reported no weights, in milliseconds. */
const UNLOADED_MILLISECONDS = 100;

/** Creates an entry that knows no engine yet. */
export function createReplayEntry(dataCentre: string): ReplayEntry {
  return {
    dataCentre,
    observations: new Map(),
    ownRequests: new Map(),
    quarantine: createReplayQuarantine(),
    rests: createUpstreamRest(),
    leaving: createLeavingUpstreams(),
  };
}

/** Counts a request that an entry has sent to an engine (1) or that has ended there (-1). */
export function changeOwnRequests(entry: ReplayEntry, engine: string, change: 1 | -1): void {
  entry.ownRequests.set(engine, (entry.ownRequests.get(engine) ?? 0) + change);
}

/** An engine as an entry sees it. */
export function engineViewAt(
  entry: ReplayEntry,
  engine: SimulatedEngine,
  slots: number,
  now: Milliseconds,
): EngineView {
  const observation = entry.observations.get(engine.id);
  return {
    id: engine.id,
    dataCentre: engine.dataCentre,
    slots,
    taken: observation?.taken ?? null,
    viewAgeMilliseconds: observation === undefined ? 0 : now - observation.at,
    ownRequests: entry.ownRequests.get(engine.id) ?? 0,
    loaded: true,
    suspended: false,
    failureRate: 0,
    agentUnresponsive: false,
  };
}

/** Time of a message from an entry, or through its dispatcher, to an engine, in milliseconds. */
export function latencyTo(
  fleet: ReplayFleet,
  entry: ReplayEntry,
  engine: SimulatedEngine,
): Milliseconds {
  const { localLatencyMilliseconds, remoteLatencyMilliseconds } = fleet;
  const isLocal = entry.dataCentre === engine.dataCentre;
  const hopDelay = fleet.routingMode === 'dispatchers' ? localLatencyMilliseconds : 0;
  return hopDelay + (isLocal ? localLatencyMilliseconds : remoteLatencyMilliseconds);
}

/** False for a time after the engine reported that it has no weights. */
export function mayAsk(entry: ReplayEntry, engine: string, now: Milliseconds): boolean {
  const observation = entry.observations.get(engine);
  return observation?.unloaded !== true || now - observation.at >= UNLOADED_MILLISECONDS;
}

/** The only incarnation of an engine; replayed engines keep what they said. */
const incarnationOf = (id: string) => ({ id, startedAt: 0 });

/** Records what an engine said of itself in an answer. */
export function recordNotice(
  { rests, leaving }: ReplayEntry,
  { kind, engine, at, until }: Omit<ReplayNotice, 'entry'>,
  now: Milliseconds,
): void {
  if (kind === 'rests') rests.record(incarnationOf(engine), until - at, now);
  else leaving.add(incarnationOf(engine));
}

/** False while the engine has said that it wants no requests from the entry. */
export function wantsRequests(
  { rests, leaving }: ReplayEntry,
  engine: string,
  now: Milliseconds,
): boolean {
  const incarnation = incarnationOf(engine);
  return rests.restMilliseconds(incarnation, now) === 0 && !leaving.has(incarnation);
}
