/** Load of an engine as reported by its agent; members are named as in its reply. */
export interface EngineLoad {
  readonly taken: number;
  readonly waiting: number;
  readonly places: number;
  /** Prefill backlog of the engine, in milliseconds. */
  readonly readingMilliseconds: number;
}

/** Prefill backlog that counts as much as all slots taken, in milliseconds. */
const FULL_PREFILL_MILLISECONDS = 300;

/** Load of an engine as a share of its slots, including its prefill backlog. */
export function engineLoad(load: EngineLoad): number {
  const { taken, waiting, places, readingMilliseconds } = load;
  return (taken + waiting) / Math.max(1, places) + readingMilliseconds / FULL_PREFILL_MILLISECONDS;
}

/** Conditions of a claim for a slot. */
export interface SlotClaimTerms {
  /** True when the claim may wait at the engine. */
  readonly mayWait: boolean;
  /** The slot is granted only while fewer slots than this are taken; `null` for no limit. */
  readonly mostTaken: number | null;
  /** Highest accepted prefill backlog, in milliseconds; `null` for no limit. */
  readonly mostReadingMilliseconds: number | null;
}

/** A claim for the caller of the generator to send to one engine's agent. */
export interface SlotSearchClaim {
  readonly engine: string;
  readonly terms: SlotClaimTerms;
}

/** Result of a claim. */
export type SlotClaimResult =
  | { readonly kind: 'granted' }
  /** With the predicted time until a slot is free, in milliseconds. */
  | { readonly kind: 'full'; readonly freeInMilliseconds: number }
  /** The engine has no weights that may be served. */
  | { readonly kind: 'unloaded' }
  /** The agent did not answer within the time of a claim. */
  | { readonly kind: 'slow' }
  /** The agent has stopped answering. */
  | { readonly kind: 'silent' };

/** Result of a search. */
export type SlotSearchResult =
  | { readonly kind: 'granted' }
  | { readonly kind: 'full'; readonly freeInMilliseconds: number; readonly asked: number }
  /** No engine predicted when a slot is free. */
  | { readonly kind: 'absent' };

/** An engine that a search may ask for a slot. */
export interface SearchedEngine {
  readonly id: string;
  readonly slots: number;
  /** False when the engine is known to have had no weights a moment ago. */
  readonly mayServe: boolean;
}

/** Inputs of a search. */
export interface SlotSearch {
  /** Engines, those most likely to have a free slot first. */
  readonly engines: readonly SearchedEngine[];
  /** Load of an engine by its agent's latest answer, as a share of its slots. */
  readonly loadOf: (engine: string) => number;
  /** Longest wait of a claim at an agent, in milliseconds. */
  readonly longestWaitMilliseconds: number;
}

/** Engines asked for a slot only if they are lightly loaded, before any free slot is accepted. */
const LIGHTLY_LOADED_ATTEMPTS = 2;

/** Taken share of its slots up to which an engine counts as lightly loaded. */
const LIGHTLY_LOADED_SHARE = 0.6;

/** Prefill backlog up to which an engine counts as lightly loaded, in milliseconds. */
const LIGHTLY_LOADED_PREFILL_MILLISECONDS = 60;

/** Engines asked for any free slot before a request waits or is refused. */
const ANY_SLOT_ATTEMPTS = 10;

/** Engines asked when none is known to have weights: enough to notice the first that has. */
const UNLOADED_ATTEMPTS = 2;

/** Results after which an engine is not asked again in the same search. */
const hopelessResults: ReadonlySet<SlotClaimResult['kind']> = new Set(['unloaded', 'slow']);

const anySlotTerms: SlotClaimTerms = {
  mayWait: false,
  mostTaken: null,
  mostReadingMilliseconds: null,
};

/**
 * Looks for a slot: first at lightly loaded engines, then any free slot, then by waiting at the
 * engine that predicts the shortest wait. Each step yields a claim and receives its result.
 *
 * @remarks
 * Limits latency under overload: a prefill on a busy engine delays the first events of all other
 * requests there, so free slots at less loaded engines are preferred, and a request never waits at
 * an engine that predicts a longer wait than allowed. While no engine has weights, for example
 * because a version ended before the next one arrived, a request is refused after few claims: their
 * answers are slow on links that are busy with weights.
 */
export function* searchSlot(
  search: SlotSearch,
): Generator<SlotSearchClaim, SlotSearchResult, SlotClaimResult> {
  const { loadOf, longestWaitMilliseconds } = search;
  const serving = search.engines.filter(({ mayServe }) => mayServe);
  const engines = serving.length > 0 ? serving : search.engines.slice(0, UNLOADED_ATTEMPTS);
  const hopeless = new Set<string>();
  let asked = 0;
  for (const { id, slots } of engines.slice(0, LIGHTLY_LOADED_ATTEMPTS)) {
    const mostTaken = Math.ceil(slots * LIGHTLY_LOADED_SHARE);
    const mostReadingMilliseconds = LIGHTLY_LOADED_PREFILL_MILLISECONDS;
    const terms = { mayWait: false, mostTaken, mostReadingMilliseconds };
    const answer = yield { engine: id, terms };
    if (answer.kind === 'granted') return answer;
    if (answer.kind !== 'silent') asked += 1;
    if (hopelessResults.has(answer.kind)) hopeless.add(id);
  }
  const leastLoaded = engines
    .slice(0, ANY_SLOT_ATTEMPTS)
    .filter(({ id }) => !hopeless.has(id))
    .toSorted((left, right) => loadOf(left.id) - loadOf(right.id));
  let soonest: { readonly id: string; readonly waitMilliseconds: number } | null = null;
  for (const { id } of leastLoaded) {
    const answer = yield { engine: id, terms: anySlotTerms };
    if (answer.kind === 'granted') return answer;
    if (answer.kind !== 'silent') asked += 1;
    if (answer.kind !== 'full') continue;
    const waitMilliseconds = answer.freeInMilliseconds;
    if (soonest === null || waitMilliseconds < soonest.waitMilliseconds)
      soonest = { id, waitMilliseconds };
  }
  if (soonest === null) return { kind: 'absent' };
  if (soonest.waitMilliseconds <= longestWaitMilliseconds) {
    const answer = yield { engine: soonest.id, terms: { ...anySlotTerms, mayWait: true } };
    if (answer.kind === 'granted') return answer;
    if (answer.kind === 'full')
      soonest = { ...soonest, waitMilliseconds: answer.freeInMilliseconds };
  }
  return { kind: 'full', freeInMilliseconds: soonest.waitMilliseconds, asked };
}
