import type { SeededRandom } from '@burdockrail/common/seededRandom.js';
import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import type { UpstreamView } from '@burdockrail/membership/upstreamDirectory.js';
import { createPrefixMemory } from './prefixMemory.js';
import { routingPolicies, type RoutingPolicyName } from './routingPolicy.js';
import {
  distanceTo,
  isEligible,
  type RoutingOption,
  type RoutingQuestion,
} from './routingQuestion.js';
import { createUpstreamHealth } from './upstreamHealth.js';

/** Requests that an upstream without a load report is taken to run at the same time. */
const ASSUMED_CAPACITY = 8;

/** How an attempt at an upstream ended, as far as routing is concerned. */
export type AttemptVerdict = 'succeeded' | 'failed' | 'neutral';

/** Chooses upstreams and remembers what this process sent to them. */
export interface UpstreamRouter {
  /** The upstream for a request's next attempt; undefined when there is none. */
  choose(question: RoutingQuestion, now: Milliseconds): UpstreamView | undefined;
  /** Notes an attempt that is sent; its verdict is told to the function returned. */
  begin(
    view: UpstreamView,
    prefixes: readonly string[],
  ): (verdict: AttemptVerdict, now: Milliseconds) => void;
  /** Capacity of an upstream and the estimate of the requests at it. */
  roomAt(view: UpstreamView): Pick<RoutingOption, 'capacity' | 'estimated'>;
}

/** Options of {@link createUpstreamRouter}. */
export interface UpstreamRouterOptions {
  readonly policy: RoutingPolicyName;
  readonly random: SeededRandom;
}

interface ReportMark {
  readonly load: unknown;
  readonly inFlight: number;
}

function announcedBlocks(view: UpstreamView, prefixes: readonly string[]): number {
  const held = new Set(view.announcement.prefixes);
  const missing = prefixes.findIndex((prefix) => !held.has(prefix));
  return missing === -1 ? prefixes.length : missing;
}

function hasRoom(option: RoutingOption): boolean {
  return option.estimated < option.capacity;
}

/** The nearest options with room; when none has room, all of them. */
function nearestWithRoom(options: readonly RoutingOption[]): readonly RoutingOption[] {
  const withRoom = options.filter(hasRoom);
  if (withRoom.length === 0) return options;
  const nearest = Math.min(...withRoom.map((option) => option.distance));
  return withRoom.filter((option) => option.distance === nearest);
}

/** Creates a router with an empty memory. */
export function createUpstreamRouter(options: UpstreamRouterOptions): UpstreamRouter {
  const counts = new Map<string, number>();
  const marks = new Map<string, ReportMark>();
  const memory = createPrefixMemory();
  const health = createUpstreamHealth();
  let turn = 0;

  const inFlight = (agent: string): number => counts.get(agent) ?? 0;

  const sentSinceReport = (view: UpstreamView): number => {
    const { agent, load } = view.announcement;
    const mark = marks.get(agent);
    if (mark?.load === load && mark !== undefined) return inFlight(agent) - mark.inFlight;
    marks.set(agent, { load, inFlight: inFlight(agent) });
    return 0;
  };

  const roomAt = (view: UpstreamView): Pick<RoutingOption, 'capacity' | 'estimated'> => {
    const { agent, load } = view.announcement;
    const reported = load === undefined ? 0 : load.running + load.waiting;
    return {
      estimated: Math.max(inFlight(agent), reported + sentSinceReport(view)),
      capacity: Math.max(1, load?.capacity ?? ASSUMED_CAPACITY),
    };
  };

  const toOption = (question: RoutingQuestion, view: UpstreamView): RoutingOption => {
    const { agent, load } = view.announcement;
    const reported = load === undefined ? 0 : load.running + load.waiting;
    return {
      view,
      agent,
      distance: distanceTo(question, view),
      inFlight: inFlight(agent),
      reported,
      ...roomAt(view),
      cachedBlocks: Math.max(
        announcedBlocks(view, question.prefixes),
        memory.matches(question.prefixes, agent),
      ),
    };
  };

  return {
    roomAt,
    choose: (question, now) => {
      const eligible = question.candidates.filter((view) => isEligible(question, view));
      const healthy = eligible.filter((view) => !health.avoids(view.announcement.agent, now));
      const usable = (healthy.length > 0 ? healthy : eligible).map((view) =>
        toOption(question, view),
      );
      if (usable.length === 0) return undefined;
      turn += 1;
      const policy = routingPolicies[options.policy];
      const { spreadKey } = question;
      return policy(nearestWithRoom(usable), { random: options.random, turn, spreadKey })?.view;
    },
    begin: (view, prefixes) => {
      const { agent } = view.announcement;
      counts.set(agent, inFlight(agent) + 1);
      memory.note(prefixes, agent);
      let ended = false;
      return (verdict, now) => {
        if (ended) return;
        ended = true;
        counts.set(agent, inFlight(agent) - 1);
        if (verdict === 'failed') health.failed(agent, now);
        if (verdict === 'succeeded') health.succeeded(agent);
      };
    },
  };
}
