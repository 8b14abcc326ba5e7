import type { SeededRandom } from '@burdockrail/common/seededRandom.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { UpstreamView } from '@burdockrail/membership/upstreamDirectory.js';
import { createRecentPrefixes } from './recentPrefixes.js';
import { routingPolicies, type RoutingPolicyName } from './routingPolicy.js';
import {
  distanceTo,
  isEligible,
  type RoutingOption,
  type RoutingRequest,
} from './routingRequest.js';
import { createUpstreamBackoff } from './upstreamBackoff.js';

/** Assumed capacity, in concurrent requests, of an upstream without a load report. */
const ASSUMED_CAPACITY = 8;

/** Result of an attempt, as it counts for routing. */
export type AttemptVerdict = 'succeeded' | 'failed' | 'neutral';

/** Chooses upstreams and tracks the requests that this process sent to them. */
export interface UpstreamRouter {
  /** Returns the upstream for a request's next attempt; `undefined` when there is none. */
  choose(request: RoutingRequest, now: Milliseconds): UpstreamView | undefined;
  /** Records the start of an attempt; the returned function must be called with its verdict. */
  beginAttempt(
    view: UpstreamView,
    prefixes: readonly string[],
  ): (verdict: AttemptVerdict, now: Milliseconds) => void;
  /** Capacity of an upstream and the estimated number of its requests. */
  occupancyOf(view: UpstreamView): Pick<RoutingOption, 'capacity' | 'estimated'>;
}

/** Options of {@link createUpstreamRouter}. */
export interface UpstreamRouterOptions {
  readonly policy: RoutingPolicyName;
  readonly random: SeededRandom;
}

/** Requests in flight when a load report was first seen. */
interface ReportBaseline {
  readonly load: unknown;
  readonly inFlight: number;
}

function countAnnouncedBlocks(view: UpstreamView, prefixes: readonly string[]): number {
  const announced = new Set(view.announcement.prefixes);
  const firstMissing = prefixes.findIndex((prefix) => !announced.has(prefix));
  return firstMissing === -1 ? prefixes.length : firstMissing;
}

function hasSpareCapacity(option: RoutingOption): boolean {
  return option.estimated < option.capacity;
}

/** The nearest options with spare capacity; all options when none has any. */
function nearestWithSpareCapacity(options: readonly RoutingOption[]): readonly RoutingOption[] {
  const withSpareCapacity = options.filter(hasSpareCapacity);
  if (withSpareCapacity.length === 0) return options;
  const nearest = Math.min(...withSpareCapacity.map((option) => option.distance));
  return withSpareCapacity.filter((option) => option.distance === nearest);
}

/** Creates a router without recorded attempts. */
export function createUpstreamRouter(options: UpstreamRouterOptions): UpstreamRouter {
  const inFlightByAgent = new Map<string, number>();
  const baselines = new Map<string, ReportBaseline>();
  const recentPrefixes = createRecentPrefixes();
  const backoff = createUpstreamBackoff();
  let choiceCount = 0;

  const inFlight = (agent: string): number => inFlightByAgent.get(agent) ?? 0;

  const sentSinceReport = (view: UpstreamView): number => {
    const { agent, load } = view.announcement;
    const baseline = baselines.get(agent);
    if (baseline?.load === load && baseline !== undefined)
      return inFlight(agent) - baseline.inFlight;
    baselines.set(agent, { load, inFlight: inFlight(agent) });
    return 0;
  };

  const occupancyOf = (view: UpstreamView): Pick<RoutingOption, 'capacity' | 'estimated'> => {
    const { agent, load } = view.announcement;
    const reported = load === undefined ? 0 : load.running + load.waiting;
    return {
      estimated: Math.max(inFlight(agent), reported + sentSinceReport(view)),
      capacity: Math.max(1, load?.capacity ?? ASSUMED_CAPACITY),
    };
  };

  const toOption = (request: RoutingRequest, view: UpstreamView): RoutingOption => {
    const { agent, load } = view.announcement;
    const reported = load === undefined ? 0 : load.running + load.waiting;
    return {
      view,
      agent,
      distance: distanceTo(request, view),
      inFlight: inFlight(agent),
      reported,
      ...occupancyOf(view),
      cachedBlocks: Math.max(
        countAnnouncedBlocks(view, request.prefixes),
        recentPrefixes.countLeadingMatches(request.prefixes, agent),
      ),
    };
  };

  return {
    occupancyOf,
    choose: (request, now) => {
      const eligible = request.candidates.filter((view) => isEligible(request, view));
      const healthy = eligible.filter(
        (view) => !backoff.isBackingOff(view.announcement.agent, now),
      );
      const usable = (healthy.length > 0 ? healthy : eligible).map((view) =>
        toOption(request, view),
      );
      if (usable.length === 0) return undefined;
      choiceCount += 1;
      const policy = routingPolicies[options.policy];
      const { tieBreakKey: spreadKey } = request;
      return policy(nearestWithSpareCapacity(usable), {
        random: options.random,
        choiceCount,
        tieBreakKey: spreadKey,
      })?.view;
    },
    beginAttempt: (view, prefixes) => {
      const { agent } = view.announcement;
      inFlightByAgent.set(agent, inFlight(agent) + 1);
      recentPrefixes.record(prefixes, agent);
      let ended = false;
      return (verdict, now) => {
        if (ended) return;
        ended = true;
        inFlightByAgent.set(agent, inFlight(agent) - 1);
        if (verdict === 'failed') backoff.recordFailure(agent, now);
        if (verdict === 'succeeded') backoff.recordSuccess(agent);
      };
    },
  };
}
