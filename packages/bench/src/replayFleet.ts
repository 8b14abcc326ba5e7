import { createSeededRandom } from '@burdockrail/common/seededRandom.js';
import type { QuarantineState } from '@burdockrail/limits/quarantineState.js';
import type { EnginePerformance } from '@burdockrail/limits/slotRequest.js';
import { refusalRetryAfterMilliseconds } from '@burdockrail/limits/refusalRetryAfter.js';
import { streamSlackMilliseconds } from '@burdockrail/limits/streamSlack.js';
import { orderEngines, type EngineView } from '@burdockrail/routing/engineOrder.js';
import {
  searchSlot,
  type SlotSearchClaim,
  type SlotSearchResult,
} from '@burdockrail/routing/slotSearch.js';
import type { PassSettings } from '@burdockrail/standins/enginePasses.js';
import {
  CRASH_ATTEMPTS,
  CRASH_MILLISECONDS,
  FINDING_MILLISECONDS,
  crashReport,
  createReplayQuarantine,
  traitsOf,
} from './replayCrashes.js';
import {
  createSimulatedEngine,
  type ClaimResult,
  type SimulatedEngine,
} from './simulatedEngine.js';
import type { StreamArrival } from './replayTraffic.js';
import { createVirtualClock } from './virtualClock.js';

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

interface EngineObservation {
  readonly taken: number;
  readonly load: number;
  /** True when the engine had no weights that may be served. */
  readonly unloaded: boolean;
  readonly at: number;
}

interface Entry {
  readonly dataCentre: string;
  readonly observations: Map<string, EngineObservation>;
  readonly ownRequests: Map<string, number>;
  readonly quarantine: QuarantineState;
}

/** One attempt of a caller. */
interface Attempt {
  readonly arrival: StreamArrival;
  readonly entry: Entry;
  readonly refuse: (freeInMilliseconds: number | null) => void;
  readonly finish: (outcome: 'onTime' | 'late', firstMilliseconds: number) => void;
  /** The engine has crashed; the request is sent again if another attempt is left. */
  readonly interrupted: () => void;
  readonly onSent: (engine: string) => void;
}

/** Time for which an entry skips an engine that reported no weights, in milliseconds. */
const UNLOADED_MILLISECONDS = 100;

/** Time that a caller takes to open a new connection, in milliseconds. */
const RECONNECT_MILLISECONDS = 8;

/** Upper limit on the advised wait before a retry, as a share of the time until the deadline. */
const RETRY_WAIT_SHARE = 1 / 3;

/** Replays arrivals in virtual time with the routing and admission code of entries and agents. */
export function replayArrivals(
  fleet: ReplayFleet,
  arrivals: readonly StreamArrival[],
): readonly ReplayResult[] {
  const clock = createVirtualClock();
  const random = createSeededRandom(fleet.seed);
  const results: ReplayResult[] = [];
  const { performance, passes } = fleet;
  const dataCentreOf = (index: number): string => `dc-${index % fleet.dataCentres}`;
  const engines = fleet.engines.map((_engine, index) =>
    createSimulatedEngine({
      clock,
      id: String(index),
      dataCentre: dataCentreOf(index),
      performance,
      passes,
    }),
  );
  const routerCount = fleet.routingMode === 'dispatchers' ? fleet.dataCentres : fleet.entries;
  const entries = Array.from({ length: routerCount }, (_value, index): Entry => {
    return {
      dataCentre: dataCentreOf(index),
      observations: new Map(),
      ownRequests: new Map(),
      quarantine: createReplayQuarantine(),
    };
  });
  let lastId = 0;

  const latencyTo = (entry: Entry, engine: SimulatedEngine): number => {
    const isLocal = entry.dataCentre === engine.dataCentre;
    const hopDelay = fleet.routingMode === 'dispatchers' ? fleet.localLatencyMilliseconds : 0;
    return hopDelay + (isLocal ? fleet.localLatencyMilliseconds : fleet.remoteLatencyMilliseconds);
  };

  const servingEngines = (): readonly SimulatedEngine[] => {
    const second = clock.now() / 1_000;
    return engines.filter((_engine, index) => {
      const { fromSecond, untilSecond } = fleet.engines[index] ?? { fromSecond: 0, untilSecond: 0 };
      return fromSecond <= second && second < untilSecond;
    });
  };

  const viewOf = (entry: Entry, engine: SimulatedEngine): EngineView => {
    const observation = entry.observations.get(engine.id);
    return {
      id: engine.id,
      dataCentre: engine.dataCentre,
      slots: performance.slots,
      taken: observation?.taken ?? null,
      viewAgeMilliseconds: observation === undefined ? 0 : clock.now() - observation.at,
      ownRequests: entry.ownRequests.get(engine.id) ?? 0,
      loaded: true,
      suspended: false,
      agentUnresponsive: false,
    };
  };

  const mayServe = (entry: Entry, id: string): boolean => {
    const observation = entry.observations.get(id);
    if (observation?.unloaded !== true) return true;
    return clock.now() - observation.at >= UNLOADED_MILLISECONDS;
  };

  const rankEngines = (entry: Entry): readonly string[] =>
    orderEngines(
      servingEngines().map((engine) => viewOf(entry, engine)),
      entry.dataCentre,
    );

  const runAtEngine = (attempt: Attempt, engine: SimulatedEngine, onReleased: () => void): void => {
    const { arrival, entry } = attempt;
    const { kind, promptTokens, answerTokens } = arrival;
    const delay = latencyTo(entry, engine);
    let firstAt: number | null = null;
    let lastAt = 0;
    let longestPause = 0;
    lastId += 1;
    const request = { id: lastId, promptTokens, answerTokens };
    entry.ownRequests.set(engine.id, (entry.ownRequests.get(engine.id) ?? 0) + 1);
    const onTokens = (isLast: boolean): void => {
      if (arrival.isCrashing) {
        engine.crash(CRASH_MILLISECONDS);
        return;
      }
      const at = clock.now() + delay - arrival.at;
      if (firstAt !== null) longestPause = Math.max(longestPause, at - lastAt);
      firstAt ??= at;
      lastAt = at;
      if (!isLast) return;
      const isOnTime =
        firstAt <= kind.objectiveMilliseconds && longestPause <= kind.maximumPauseMilliseconds;
      entry.quarantine.recordCompletion(traitsOf(arrival), clock.now());
      attempt.finish(isOnTime ? 'onTime' : 'late', firstAt);
      clock.schedule(delay, () => {
        entry.ownRequests.set(engine.id, (entry.ownRequests.get(engine.id) ?? 1) - 1);
        clock.schedule(delay, onReleased);
      });
    };
    const onCrash = (): void => {
      entry.ownRequests.set(engine.id, (entry.ownRequests.get(engine.id) ?? 1) - 1);
      const report = crashReport(arrival, engine.id, firstAt !== null, clock.now());
      clock.schedule(FINDING_MILLISECONDS, () => {
        for (const { quarantine } of entries) quarantine.recordCrash(report, clock.now());
      });
      clock.schedule(delay, attempt.interrupted);
    };
    clock.schedule(delay, () => {
      attempt.onSent(engine.id);
      engine.run(request, { onTokens, onCrash });
    });
  };

  const slackOf = ({ kind, at, promptTokens }: StreamArrival): number =>
    streamSlackMilliseconds({
      objectiveMilliseconds: kind.objectiveMilliseconds,
      elapsedMilliseconds: clock.now() - at,
      promptTokens,
      readTokensPerSecond: performance.readTokensPerSecond,
    });

  const routeByAgents = (attempt: Attempt): void => {
    const { arrival, entry, refuse } = attempt;
    const elapsed = clock.now() - arrival.at;
    const slackMilliseconds = slackOf(arrival);
    const search = searchSlot({
      engines: rankEngines(entry).map((id) => {
        return { id, slots: performance.slots, mayServe: mayServe(entry, id) };
      }),
      loadOf: (id) => entry.observations.get(id)?.load ?? 0,
      longestWaitMilliseconds: fleet.longestWaitMilliseconds,
    });
    const advanceSearch = (step: IteratorResult<SlotSearchClaim, SlotSearchResult>): void => {
      if (step.done === true) {
        refuse(step.value.kind === 'full' ? step.value.freeInMilliseconds : null);
        return;
      }
      const { engine: id, terms } = step.value;
      const engine = engines[Number(id)];
      if (engine === undefined) return;
      const delay = latencyTo(entry, engine);
      const onClaimResult = (result: ClaimResult): void => {
        const { taken, load } = engine;
        clock.schedule(delay, () => {
          const unloaded = result.kind === 'unloaded';
          entry.observations.set(id, { taken, load, unloaded, at: clock.now() });
          if (result.kind !== 'granted') {
            advanceSearch(search.next(result));
            return;
          }
          runAtEngine(attempt, engine, () => {
            engine.release(result.slot);
          });
        });
      };
      clock.schedule(delay, () => {
        const { promptTokens, estimatedAnswerTokens } = arrival;
        const answerTokens = Math.min(arrival.kind.maximumAnswerTokens, estimatedAnswerTokens);
        const holdMilliseconds = fleet.deadlineMilliseconds - elapsed;
        const requestId = String(arrival.at);
        engine.claim(
          {
            requestId,
            promptTokens,
            answerTokens,
            slackMilliseconds,
            ...terms,
            holdMilliseconds,
            rank: 0,
          },
          onClaimResult,
        );
      });
    };
    advanceSearch(search.next());
  };

  const routeAlone = (attempt: Attempt): void => {
    const { entry } = attempt;
    const [id] = rankEngines(entry);
    const engine = id === undefined ? undefined : engines[Number(id)];
    const taken = id === undefined ? 0 : (entry.observations.get(id)?.taken ?? 0);
    if (engine === undefined || taken >= performance.slots)
      attempt.refuse(fleet.reportMilliseconds);
    else runAtEngine(attempt, engine, () => undefined);
  };

  const reportLoads = (): void => {
    for (const engine of engines) {
      const observation = {
        taken: engine.requests,
        load: engine.requests / performance.slots,
        unloaded: false,
        at: clock.now(),
      };
      clock.schedule(fleet.reportMilliseconds, () => {
        for (const entry of entries) entry.observations.set(engine.id, observation);
      });
    }
    clock.schedule(fleet.reportMilliseconds, reportLoads);
  };

  const route = fleet.routingMode === 'alone' ? routeAlone : routeByAgents;

  const sendArrival = (arrival: StreamArrival): void => {
    let refusals = 0;
    let refusalMilliseconds = 0;
    let crashes = 0;
    const sent: { readonly engine: string; readonly at: number }[] = [];
    const endUnserved = (): void => {
      const ended = { firstMilliseconds: null, refusalMilliseconds, refusals, sent };
      results.push({ arrival, outcome: 'refused', ...ended });
    };
    const attempt = (): void => {
      const entry = entries[random.nextInteger(entries.length)];
      if (entry === undefined) return;
      const arrivedAt = clock.now();
      const status = entry.quarantine.statusOf(traitsOf(arrival), arrivedAt);
      if (fleet.quarantines !== false && status.kind === 'quarantined') {
        endUnserved();
        return;
      }
      route({
        arrival,
        entry,
        finish: (outcome, firstMilliseconds) => {
          results.push({
            arrival,
            outcome,
            firstMilliseconds,
            refusalMilliseconds,
            refusals,
            sent,
          });
        },
        interrupted: () => {
          crashes += 1;
          if (crashes < CRASH_ATTEMPTS) attempt();
          else endUnserved();
        },
        onSent: (engine) => {
          sent.push({ engine, at: clock.now() });
        },
        refuse: (freeInMilliseconds) => {
          refusals += 1;
          refusalMilliseconds = Math.max(refusalMilliseconds, clock.now() - arrivedAt);
          const remaining = fleet.deadlineMilliseconds - (clock.now() - arrival.at);
          if (refusals > fleet.maximumRetries || remaining <= 0) {
            endUnserved();
            return;
          }
          const slackMilliseconds = slackOf(arrival);
          const retryAfterMilliseconds = refusalRetryAfterMilliseconds({
            freeInMilliseconds,
            slackMilliseconds,
          });
          const wait = Math.min(retryAfterMilliseconds, remaining * RETRY_WAIT_SHARE);
          clock.schedule(wait + RECONNECT_MILLISECONDS, attempt);
        },
      });
    };
    attempt();
  };

  for (const arrival of arrivals) {
    clock.schedule(arrival.at, () => {
      sendArrival(arrival);
    });
  }
  fleet.loadsAtSeconds.forEach((second, index) => {
    engines[index]?.loadWeightsAt(second * 1_000);
  });
  for (const { engine, requestsPerSecond, fromSecond } of fleet.limits ?? []) {
    clock.schedule(fromSecond * 1_000, () => {
      engines[engine]?.setLimit(requestsPerSecond);
    });
  }
  if (fleet.routingMode === 'alone') reportLoads();
  clock.runUntil((arrivals.at(-1)?.at ?? 0) + 4 * fleet.deadlineMilliseconds);
  return results;
}
