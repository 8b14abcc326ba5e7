import { createSeededRandom } from '@burdockrail/common/seededRandom.js';
import { streamSlackMilliseconds } from '@burdockrail/limits/streamSlack.js';
import { orderEngines } from '@burdockrail/routing/engineOrder.js';
import {
  searchSlot,
  type SlotSearchClaim,
  type SlotSearchResult,
} from '@burdockrail/routing/slotSearch.js';
import {
  CRASH_ATTEMPTS,
  CRASH_MILLISECONDS,
  FINDING_MILLISECONDS,
  crashReport,
  traitsOf,
} from './replayCrashes.js';
import { callerWait, ENGINE_ATTEMPTS, type Attempt } from './replayAttempt.js';
import {
  changeOwnRequests,
  createReplayEntry,
  engineViewAt,
  latencyTo,
  mayAsk,
  recordNotice,
  wantsRequests,
  type ReplayEntry,
} from './replayEntry.js';
import {
  createSimulatedEngine,
  type ClaimResult,
  type SimulatedEngine,
} from './simulatedEngine.js';
import type { StreamArrival } from './replayTraffic.js';
import { departureNotice, scheduleTroubles } from './replayTroubles.js';
import type { ReplayFleet, ReplayNotice, ReplayResult, ReplaySending } from './replayTypes.js';
import { createVirtualClock } from './virtualClock.js';

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
  const entries = Array.from({ length: routerCount }, (_value, index) =>
    createReplayEntry(dataCentreOf(index)),
  );
  let lastId = 0;

  const servingEngines = (): readonly SimulatedEngine[] => {
    const second = clock.now() / 1_000;
    return engines.filter((_engine, index) => {
      const { fromSecond, untilSecond } = fleet.engines[index] ?? { fromSecond: 0, untilSecond: 0 };
      return fromSecond <= second && second < untilSecond;
    });
  };

  const rankEngines = (entry: ReplayEntry): readonly string[] =>
    orderEngines(
      servingEngines()
        .filter(({ id }) => wantsRequests(entry, id, clock.now()))
        .map((engine) => engineViewAt(entry, engine, performance.slots, clock.now())),
      entry.dataCentre,
    );

  const runAtEngine = (attempt: Attempt, engine: SimulatedEngine, onReleased: () => void): void => {
    const { arrival, entry } = attempt;
    const { kind, promptTokens, answerTokens } = arrival;
    const delay = latencyTo(fleet, entry, engine);
    let firstAt: number | null = null;
    let lastAt = 0;
    let longestPause = 0;
    lastId += 1;
    const request = { id: lastId, promptTokens, answerTokens };
    changeOwnRequests(entry, engine.id, 1);
    const hearNotice = (notice: Omit<ReplayNotice, 'entry'>): void => {
      attempt.onNotice(notice);
      clock.schedule(delay, () => {
        recordNotice(entry, notice, clock.now());
      });
    };
    const onTokens = (isLast: boolean): void => {
      if (arrival.isCrashing) {
        engine.crash(CRASH_MILLISECONDS);
        return;
      }
      const at = clock.now() + delay - arrival.at;
      const notice = departureNotice(fleet, engine.id, clock.now());
      if (firstAt === null && notice !== null) hearNotice(notice);
      if (firstAt !== null) longestPause = Math.max(longestPause, at - lastAt);
      firstAt ??= at;
      lastAt = at;
      if (!isLast) return;
      const isOnTime =
        firstAt <= kind.objectiveMilliseconds && longestPause <= kind.maximumPauseMilliseconds;
      entry.quarantine.recordCompletion(traitsOf(arrival), clock.now());
      attempt.finish(isOnTime ? 'onTime' : 'late', firstAt);
      clock.schedule(delay, () => {
        changeOwnRequests(entry, engine.id, -1);
        clock.schedule(delay, onReleased);
      });
    };
    const onCrash = (): void => {
      changeOwnRequests(entry, engine.id, -1);
      const report = crashReport(arrival, engine.id, firstAt !== null, clock.now());
      clock.schedule(FINDING_MILLISECONDS, () => {
        for (const { quarantine } of entries) quarantine.recordCrash(report, clock.now());
      });
      clock.schedule(delay, attempt.interrupted);
    };
    const onRefused = (restMilliseconds: number): void => {
      const until = clock.now() + restMilliseconds;
      hearNotice({ kind: 'rests', engine: engine.id, at: clock.now(), until });
      clock.schedule(delay, () => {
        changeOwnRequests(entry, engine.id, -1);
        attempt.refusedByEngine();
        clock.schedule(delay, onReleased);
      });
    };
    clock.schedule(delay, () => {
      attempt.onSent(engine.id);
      engine.run(request, { onTokens, onCrash, onRefused });
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
        return { id, slots: performance.slots, mayServe: mayAsk(entry, id, clock.now()) };
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
      const delay = latencyTo(fleet, entry, engine);
      const onClaimResult = (result: ClaimResult): void => {
        const { taken, load } = engine;
        clock.schedule(delay, () => {
          const unloaded = result.kind === 'unloaded';
          entry.observations.set(id, { taken, load, unloaded, at: clock.now() });
          if (result.kind !== 'granted') {
            advanceSearch(search.next(result));
            return;
          }
          // Another answer may have come while the claim waited.
          if (!wantsRequests(entry, id, clock.now())) {
            engine.release(result.slot);
            advanceSearch(search.next({ kind: 'unloaded' }));
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
    let rests = 0;
    const sent: ReplaySending[] = [];
    const notices: ReplayNotice[] = [];
    const endUnserved = (): void => {
      const ended = { firstMilliseconds: null, refusalMilliseconds, refusals, sent, notices };
      results.push({ arrival, outcome: 'refused', ...ended });
    };
    const attempt = (): void => {
      const entryIndex = random.nextInteger(entries.length);
      const entry = entries[entryIndex];
      if (entry === undefined) return;
      const arrivedAt = clock.now();
      const status = entry.quarantine.statusOf(traitsOf(arrival), arrivedAt);
      if (fleet.quarantines !== false && status.kind === 'quarantined') {
        endUnserved();
        return;
      }
      const refuse = (freeInMilliseconds: number | null): void => {
        refusals += 1;
        refusalMilliseconds = Math.max(refusalMilliseconds, clock.now() - arrivedAt);
        const remaining = fleet.deadlineMilliseconds - (clock.now() - arrival.at);
        if (refusals > fleet.maximumRetries || remaining <= 0) {
          endUnserved();
          return;
        }
        clock.schedule(callerWait(freeInMilliseconds, slackOf(arrival), remaining), attempt);
      };
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
            notices,
          });
        },
        interrupted: () => {
          crashes += 1;
          if (crashes < CRASH_ATTEMPTS) attempt();
          else endUnserved();
        },
        refusedByEngine: () => {
          rests += 1;
          if (rests < ENGINE_ATTEMPTS) attempt();
          else refuse(null);
        },
        onSent: (engine) => {
          sent.push({ engine, entry: entryIndex, at: clock.now() });
        },
        onNotice: (notice) => {
          notices.push({ ...notice, entry: entryIndex });
        },
        refuse,
      });
    };
    attempt();
  };

  for (const arrival of arrivals) {
    clock.schedule(arrival.at, () => {
      sendArrival(arrival);
    });
  }
  scheduleTroubles(fleet, engines, clock);
  if (fleet.routingMode === 'alone') reportLoads();
  clock.runUntil((arrivals.at(-1)?.at ?? 0) + 4 * fleet.deadlineMilliseconds);
  return results;
}
