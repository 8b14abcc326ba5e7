import type { Milliseconds } from '@burdockrail/common/timeSource.js';
import { nextChunkFetch, type ChunkFetch, type ChunkHolder } from './chunkChoice.js';
import { createChunkDuties, type ChunkDuties, type ChunkPeer } from './chunkDuties.js';

/** What another agent said of a version's chunks. */
export interface ChunkOffer {
  readonly held: ReadonlySet<number>;
  /** Time until its link is free, in milliseconds. */
  readonly queuedMilliseconds: number;
}

/** Keeps what one agent knows while it fetches a version, and decides its fetches. */
export interface ChunkPlanner {
  /**
   * The next fetch, which counts as in progress from now on; `null` when there is none now. Fetches
   * that take too long halve how many go on at the same time, sound chunks raise it again.
   */
  next(missing: readonly number[], now: Milliseconds): ChunkFetch | null;
  /** Takes what another agent offers; `null` when it did not answer. */
  told(agent: string, offer: ChunkOffer | null, now: Milliseconds): void;
  /** Takes the end of a fetch, and whether the chunk was sound. */
  ended(fetch: ChunkFetch, isSound: boolean, now: Milliseconds): void;
  /** Agents to ask now what they hold; each is not named again before it was told of. */
  toAsk(now: Milliseconds): readonly string[];
}

/** Options of {@link createChunkPlanner}. */
export interface ChunkPlannerOptions {
  /** Names model and version. */
  readonly set: string;
  readonly self: ChunkPeer;
  /** The other agents that take part at present. */
  readonly others: () => readonly ChunkPeer[];
  /** Expected time that one chunk takes on another agent's link, in milliseconds. */
  readonly chunkMilliseconds: () => number;
}

/**
 * Time for which an agent that failed a fetch is left out at first, in milliseconds.
 *
 * Others then take over its part of the plan, so that a squeezed link does not hold up everyone.
 */
const AVOID_MILLISECONDS = 1_500;

/** Longest such time; it doubles with each failure in a row. */
const LONGEST_AVOID_MILLISECONDS = 12_000;

/** Interval at which agents of the own region are asked what they hold, in milliseconds. */
const NEAR_INTERVAL_MILLISECONDS = 60;

/** The same for agents of other regions: only chunks that the region lacks come from there. */
const FAR_INTERVAL_MILLISECONDS = 180;

/** Time for which the origin is left alone after its first failure in a row, in milliseconds. */
const ORIGIN_PAUSE_MILLISECONDS = 100;

/** Longest such time; it doubles with each failure. */
const LONGEST_ORIGIN_PAUSE_MILLISECONDS = 400;

/** Fetches at the same time at most: enough to fill a thin link over a short delay. */
const MOST_FETCHES = 8;

/** Fetches that a sound chunk adds to those that may go on at the same time. */
const FETCHES_GAINED = 0.25;

/** Unanswered questions in a row after which others take over an agent's part of the plan. */
const SILENT_QUESTIONS = 2;

interface Known {
  readonly offer: ChunkOffer | null;
  /** Questions in a row that were not answered. */
  readonly unanswered: number;
  readonly askedAt: Milliseconds;
  /** True until the question is answered or given up. */
  readonly asked: boolean;
  readonly told: Milliseconds;
  /** Time that fetches since the offer have added to the link, in milliseconds. */
  readonly added: number;
  readonly busy: number;
  readonly avoidUntil: Milliseconds;
  readonly avoidLength: Milliseconds;
}

const unknown: Known = {
  offer: null,
  unanswered: 0,
  askedAt: Number.NEGATIVE_INFINITY,
  asked: false,
  told: 0,
  added: 0,
  busy: 0,
  avoidUntil: Number.NEGATIVE_INFINITY,
  avoidLength: AVOID_MILLISECONDS / 2,
};

/** Creates the planner of an agent that begins to fetch. */
export function createChunkPlanner(
  options: ChunkPlannerOptions,
  start: Milliseconds,
): ChunkPlanner {
  const { set, self } = options;
  const agents = new Map<string, Known>();
  const fetching = new Set<number>();
  let allowed = MOST_FETCHES;
  let fromOrigin = 0;
  let originFailures = 0;
  let originRestsUntil = start;
  let lastChunkAt = start;
  let planned: { readonly key: string; readonly duties: ChunkDuties } | null = null;

  const change = (agent: string, changes: Partial<Known>): void => {
    agents.set(agent, { ...(agents.get(agent) ?? unknown), ...changes });
  };

  const dutiesAmong = (others: readonly ChunkPeer[]): ChunkDuties => {
    const key = others.map(({ agent }) => agent).join(' ');
    if (planned?.key !== key) planned = { key, duties: createChunkDuties(set, self, others) };
    return planned.duties;
  };

  const takesPart = (agent: string, now: Milliseconds): boolean => {
    const { unanswered, avoidUntil } = agents.get(agent) ?? unknown;
    return unanswered < SILENT_QUESTIONS && avoidUntil <= now;
  };

  const holderOf = ({ agent, region }: ChunkPeer, now: Milliseconds): ChunkHolder => {
    const known = agents.get(agent) ?? unknown;
    const queued = (known.offer?.queuedMilliseconds ?? 0) + known.added - (now - known.told);
    return {
      agent,
      region,
      held: known.offer?.held ?? new Set(),
      busy: known.busy,
      queuedMilliseconds: Math.max(0, queued),
    };
  };

  const mark = ({ source }: ChunkFetch, step: 1 | -1): void => {
    if (source.kind === 'origin') {
      fromOrigin += step;
      return;
    }
    const known = agents.get(source.agent) ?? unknown;
    const added = known.added + (step === 1 ? options.chunkMilliseconds() : 0);
    change(source.agent, { busy: known.busy + step, added });
  };

  return {
    next: (missing, now) => {
      if (fetching.size >= Math.floor(allowed)) return null;
      const others = options.others().filter(({ agent }) => takesPart(agent, now));
      const fetch = nextChunkFetch({
        region: self.region,
        duties: dutiesAmong(others),
        missing: missing.filter((chunk) => !fetching.has(chunk)),
        others: others.map((other) => holderOf(other, now)),
        fromOrigin,
        mayAskOrigin: now >= originRestsUntil,
        idleMilliseconds: now - lastChunkAt,
      });
      if (fetch === null) return null;
      fetching.add(fetch.chunk);
      mark(fetch, 1);
      return fetch;
    },
    told: (agent, offer, now) => {
      const former = (agents.get(agent) ?? unknown).unanswered;
      const unanswered = offer === null ? former + 1 : 0;
      change(agent, { offer, unanswered, asked: false, told: now, added: 0 });
    },
    ended: (fetch, isSound, now) => {
      fetching.delete(fetch.chunk);
      mark(fetch, -1);
      if (isSound) lastChunkAt = now;
      if (fetch.source.kind === 'origin') {
        originFailures = isSound ? 0 : originFailures + 1;
        const pause = ORIGIN_PAUSE_MILLISECONDS * 2 ** (originFailures - 1);
        if (!isSound) originRestsUntil = now + Math.min(LONGEST_ORIGIN_PAUSE_MILLISECONDS, pause);
        return;
      }
      // Too many fetches on a link that has become thin would all take longer than their bound.
      allowed = isSound
        ? Math.min(MOST_FETCHES, allowed + FETCHES_GAINED)
        : Math.max(1, allowed / 2);
      const { agent } = fetch.source;
      if (isSound) {
        change(agent, { avoidLength: unknown.avoidLength });
        return;
      }
      const former = (agents.get(agent) ?? unknown).avoidLength;
      const avoidLength = Math.min(LONGEST_AVOID_MILLISECONDS, former * 2);
      change(agent, { avoidLength, avoidUntil: now + avoidLength });
    },
    toAsk: (now) => {
      const due = options.others().filter(({ agent, region }) => {
        const interval =
          region === self.region ? NEAR_INTERVAL_MILLISECONDS : FAR_INTERVAL_MILLISECONDS;
        const { asked, askedAt } = agents.get(agent) ?? unknown;
        return !asked && now - askedAt >= interval;
      });
      for (const { agent } of due) change(agent, { asked: true, askedAt: now });
      return due.map(({ agent }) => agent);
    },
  };
}
