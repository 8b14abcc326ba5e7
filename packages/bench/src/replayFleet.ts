import { createSeededRandom } from '@burdockrail/common/seededRandom.js';
import type { EnginePerformance } from '@burdockrail/limits/placeRequest.js';
import { refusalRetryAfterMilliseconds } from '@burdockrail/limits/refusalRetryAfter.js';
import { streamSlackMilliseconds } from '@burdockrail/limits/streamSlack.js';
import { orderEngines, type EngineView } from '@burdockrail/routing/engineOrder.js';
import {
  searchPlace,
  type PlaceSearchClaim,
  type PlaceSearchResult,
} from '@burdockrail/routing/placeSearch.js';
import type { PassSettings } from '@burdockrail/standins/enginePasses.js';
import { createReplayEngine, type ClaimEnd, type ReplayEngineSite } from './replayEngine.js';
import type { StreamArrival } from './replayTraffic.js';
import { createVirtualClock } from './virtualClock.js';

/** Who decides where a request goes. */
export type ReplayWay =
  /** Entries ask the agents beside the engines, which own the places. */
  | 'agents'
  /** The same, but one dispatcher a data centre asks for all entries there. */
  | 'dispatchers'
  /** Each entry decides by itself, from loads that engines report now and then. */
  | 'alone';

/** The fleet that arrivals are replayed on. */
export interface ReplayFleet {
  readonly way: ReplayWay;
  readonly entries: number;
  readonly dataCentres: number;
  readonly engines: readonly ReplayEngine[];
  readonly pace: EnginePerformance;
  readonly passes: PassSettings;
  /** Time that a message takes one way, with its handling, in milliseconds. */
  readonly nearMilliseconds: number;
  readonly farMilliseconds: number;
  /** Interval and age of the engines' own reports, in milliseconds. */
  readonly reportMilliseconds: number;
  /** Longest wait of a claim at an agent, in milliseconds. */
  readonly longestWaitMilliseconds: number;
  /** Time that callers wait for their answer, in milliseconds. */
  readonly deadlineMilliseconds: number;
  /** Times that a caller comes back after a refusal. */
  readonly returns: number;
  readonly seed: number;
}

/** When an engine serves. */
export interface ReplayEngine {
  readonly fromSecond: number;
  readonly untilSecond: number;
}

/** What became of one caller's request. */
export interface ReplayResult {
  readonly arrival: StreamArrival;
  readonly outcome: 'onTime' | 'late' | 'refused';
  /** Time from the first arrival to the first event, in milliseconds; `null` without one. */
  readonly firstMilliseconds: number | null;
  /** Longest time for which the caller waited for a refusal, in milliseconds. */
  readonly refusalMilliseconds: number;
  readonly refusals: number;
}

interface EntryView {
  readonly taken: number;
  readonly load: number;
  readonly at: number;
}

interface Entry {
  readonly dataCentre: string;
  readonly views: Map<string, EntryView>;
  readonly own: Map<string, number>;
}

/** One attempt of a caller. */
interface Attempt {
  readonly arrival: StreamArrival;
  readonly entry: Entry;
  readonly refuse: (freeInMilliseconds: number | null) => void;
  readonly finish: (outcome: 'onTime' | 'late', firstMilliseconds: number) => void;
}

/** Time that a caller takes to open a new connection, in milliseconds. */
const CALLER_MILLISECONDS = 8;

/** Part of the time that is left for which callers wait as told. */
const WAIT_SHARE = 1 / 3;

/** Replays arrivals in virtual time with the deciding code of entries and agents. */
export function replayArrivals(
  fleet: ReplayFleet,
  arrivals: readonly StreamArrival[],
): readonly ReplayResult[] {
  const clock = createVirtualClock();
  const random = createSeededRandom(fleet.seed);
  const results: ReplayResult[] = [];
  const { pace, passes } = fleet;
  const dataCentreOf = (place: number): string => `dc-${place % fleet.dataCentres}`;
  const sites = fleet.engines.map((_engine, place) =>
    createReplayEngine({
      clock,
      id: String(place),
      dataCentre: dataCentreOf(place),
      pace,
      passes,
    }),
  );
  const deciders = fleet.way === 'dispatchers' ? fleet.dataCentres : fleet.entries;
  const entries = Array.from({ length: deciders }, (_value, place): Entry => {
    return { dataCentre: dataCentreOf(place), views: new Map(), own: new Map() };
  });
  let lastId = 0;

  const delayTo = (entry: Entry, site: ReplayEngineSite): number => {
    const isNear = entry.dataCentre === site.dataCentre;
    const hop = fleet.way === 'dispatchers' ? fleet.nearMilliseconds : 0;
    return hop + (isNear ? fleet.nearMilliseconds : fleet.farMilliseconds);
  };

  const serving = (): readonly ReplayEngineSite[] => {
    const second = clock.now() / 1_000;
    return sites.filter((_site, place) => {
      const { fromSecond, untilSecond } = fleet.engines[place] ?? { fromSecond: 0, untilSecond: 0 };
      return fromSecond <= second && second < untilSecond;
    });
  };

  const viewOf = (entry: Entry, site: ReplayEngineSite): EngineView => {
    const view = entry.views.get(site.id);
    return {
      id: site.id,
      dataCentre: site.dataCentre,
      places: pace.slots,
      taken: view?.taken ?? null,
      viewAgeMilliseconds: view === undefined ? 0 : clock.now() - view.at,
      ownRequests: entry.own.get(site.id) ?? 0,
      loaded: true,
      suspended: false,
      agentUnresponsive: false,
    };
  };

  const order = (entry: Entry): readonly string[] =>
    orderEngines(
      serving().map((site) => viewOf(entry, site)),
      { dataCentre: entry.dataCentre, draw: () => random.next() },
    );

  const serve = (attempt: Attempt, site: ReplayEngineSite, onEnd: () => void): void => {
    const { arrival, entry } = attempt;
    const { kind, promptTokens, answerTokens } = arrival;
    const delay = delayTo(entry, site);
    let first: number | null = null;
    let last = 0;
    let longestPause = 0;
    lastId += 1;
    const request = { id: lastId, promptTokens, answerTokens };
    entry.own.set(site.id, (entry.own.get(site.id) ?? 0) + 1);
    const onTokens = (isLast: boolean): void => {
      const at = clock.now() + delay - arrival.at;
      if (first !== null) longestPause = Math.max(longestPause, at - last);
      first ??= at;
      last = at;
      if (!isLast) return;
      const isInTime =
        first <= kind.objectiveMilliseconds && longestPause <= kind.pauseMilliseconds;
      attempt.finish(isInTime ? 'onTime' : 'late', first);
      clock.after(delay, () => {
        entry.own.set(site.id, (entry.own.get(site.id) ?? 1) - 1);
        clock.after(delay, onEnd);
      });
    };
    clock.after(delay, () => {
      site.run(request, onTokens);
    });
  };

  const slackOf = ({ kind, at, promptTokens }: StreamArrival): number =>
    streamSlackMilliseconds({
      objectiveMilliseconds: kind.objectiveMilliseconds,
      elapsedMilliseconds: clock.now() - at,
      promptTokens,
      readTokensPerSecond: pace.readTokensPerSecond,
    });

  const askAgents = (attempt: Attempt): void => {
    const { arrival, entry, refuse } = attempt;
    const elapsed = clock.now() - arrival.at;
    const slackMilliseconds = slackOf(arrival);
    const search = searchPlace({
      engines: order(entry).map((id) => ({ id, places: pace.slots })),
      loadOf: (id) => entry.views.get(id)?.load ?? 0,
      longestWaitMilliseconds: fleet.longestWaitMilliseconds,
    });
    const goOn = (step: IteratorResult<PlaceSearchClaim, PlaceSearchResult>): void => {
      if (step.done === true) {
        refuse(step.value.kind === 'full' ? step.value.freeInMilliseconds : null);
        return;
      }
      const { engine, terms } = step.value;
      const site = sites[Number(engine)];
      if (site === undefined) return;
      const delay = delayTo(entry, site);
      const told = (end: ClaimEnd): void => {
        const { taken, load } = site;
        clock.after(delay, () => {
          entry.views.set(engine, { taken, load, at: clock.now() });
          if (end.kind === 'full') {
            goOn(search.next(end));
            return;
          }
          serve(attempt, site, () => {
            site.release(end.place);
          });
        });
      };
      clock.after(delay, () => {
        const { promptTokens, hintTokens } = arrival;
        const answerTokens = Math.min(arrival.kind.mostAnswerTokens, hintTokens);
        const holdMilliseconds = fleet.deadlineMilliseconds - elapsed;
        const requestId = String(arrival.at);
        site.claim(
          {
            requestId,
            promptTokens,
            answerTokens,
            slackMilliseconds,
            ...terms,
            holdMilliseconds,
            rank: 0,
          },
          told,
        );
      });
    };
    goOn(search.next());
  };

  const decideAlone = (attempt: Attempt): void => {
    const { entry } = attempt;
    const [id] = order(entry);
    const site = id === undefined ? undefined : sites[Number(id)];
    const seen = id === undefined ? 0 : (entry.views.get(id)?.taken ?? 0);
    if (site === undefined || seen >= pace.slots) attempt.refuse(fleet.reportMilliseconds);
    else serve(attempt, site, () => undefined);
  };

  const report = (): void => {
    for (const site of sites) {
      const view = { taken: site.requests, load: site.requests / pace.slots, at: clock.now() };
      clock.after(fleet.reportMilliseconds, () => {
        for (const entry of entries) entry.views.set(site.id, view);
      });
    }
    clock.after(fleet.reportMilliseconds, report);
  };

  const decide = fleet.way === 'alone' ? decideAlone : askAgents;

  const run = (arrival: StreamArrival): void => {
    let refusals = 0;
    let refusalMilliseconds = 0;
    const attempt = (): void => {
      const entry = entries[random.nextInteger(entries.length)];
      if (entry === undefined) return;
      const arrivedAt = clock.now();
      decide({
        arrival,
        entry,
        finish: (outcome, firstMilliseconds) => {
          results.push({ arrival, outcome, firstMilliseconds, refusalMilliseconds, refusals });
        },
        refuse: (freeInMilliseconds) => {
          refusals += 1;
          refusalMilliseconds = Math.max(refusalMilliseconds, clock.now() - arrivedAt);
          const left = fleet.deadlineMilliseconds - (clock.now() - arrival.at);
          if (refusals > fleet.returns || left <= 0) {
            const firstMilliseconds = null;
            const outcome = 'refused';
            results.push({ arrival, outcome, firstMilliseconds, refusalMilliseconds, refusals });
            return;
          }
          const slackMilliseconds = slackOf(arrival);
          const advice = refusalRetryAfterMilliseconds({ freeInMilliseconds, slackMilliseconds });
          const wait = Math.min(advice, left * WAIT_SHARE);
          clock.after(wait + CALLER_MILLISECONDS, attempt);
        },
      });
    };
    attempt();
  };

  for (const arrival of arrivals) {
    clock.after(arrival.at, () => {
      run(arrival);
    });
  }
  if (fleet.way === 'alone') report();
  clock.runUntil((arrivals.at(-1)?.at ?? 0) + 4 * fleet.deadlineMilliseconds);
  return results;
}
