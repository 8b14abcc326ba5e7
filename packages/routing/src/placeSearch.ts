/** What an agent says of its engine's load. */
export interface EngineLoad {
  readonly taken: number;
  readonly waiting: number;
  readonly places: number;
  /** Prompts ahead at the engine, in milliseconds of reading. */
  readonly readingMilliseconds: number;
}

/** Prompts ahead that weigh as much as all places taken, in milliseconds of reading. */
const FULL_READING_MILLISECONDS = 300;

/** Load of an engine in shares of its places, with the prompts that it still has to read. */
export function engineLoad(load: EngineLoad): number {
  const { taken, waiting, places, readingMilliseconds } = load;
  return (taken + waiting) / Math.max(1, places) + readingMilliseconds / FULL_READING_MILLISECONDS;
}

/** How an engine is asked for a place. */
export interface PlaceTerms {
  /** True when the claim may wait at the engine. */
  readonly mayWait: boolean;
  /** Places that may be taken already; `null` for all. */
  readonly mostTaken: number | null;
  /** Prompts that may be ahead at the engine, in milliseconds of reading; `null` for any. */
  readonly mostReadingMilliseconds: number | null;
}

/** A question to one engine's agent. */
export interface PlaceQuestion {
  readonly engine: string;
  readonly terms: PlaceTerms;
}

/** What came of a question. */
export type PlaceAnswer =
  | { readonly kind: 'granted' }
  /** The prediction after which a place is free, in milliseconds. */
  | { readonly kind: 'full'; readonly freeInMilliseconds: number }
  /** The engine holds no weights, or nobody answered. */
  | { readonly kind: 'unloaded' | 'silent' };

/** How a search ended. */
export type PlaceSearchEnd =
  | { readonly kind: 'granted' }
  | { readonly kind: 'full'; readonly freeInMilliseconds: number; readonly asked: number }
  /** No engine had an answer that says when a place is free. */
  | { readonly kind: 'absent' };

/** An engine in the order in which it should be asked. */
export interface SearchedEngine {
  readonly id: string;
  readonly places: number;
}

/** What a search depends on. */
export interface PlaceSearch {
  /** The likeliest to have a free place first. */
  readonly engines: readonly SearchedEngine[];
  /** Present load of an engine by its latest answer, in shares of its places. */
  readonly loadOf: (engine: string) => number;
  /** Longest wait of a claim at an agent, in milliseconds. */
  readonly longestWaitMilliseconds: number;
}

/** Engines that are asked whether they are lightly loaded before any engine is taken as it is. */
const LIGHT_ENGINES_ASKED = 2;

/** Part of an engine's places up to which it counts as lightly loaded. */
const LIGHT_SHARE = 0.6;

/** Prompts ahead up to which an engine counts as lightly loaded, in milliseconds of reading. */
const LIGHT_READING_MILLISECONDS = 60;

/** Engines that are asked for any place before a request waits or is refused. */
const ENGINES_ASKED = 5;

const anyPlace: PlaceTerms = { mayWait: false, mostTaken: null, mostReadingMilliseconds: null };

/**
 * Looks for a place: lightly loaded engines first, then any free place, then a wait where one is
 * free soonest. Each step gives a question and takes its answer.
 *
 * @remarks
 * Answers arrivals that pass what the engines serve: a prompt on a busy engine stretches the first
 * events of all others there, so free places elsewhere go first, and nobody waits at an engine whose
 * own prediction is longer than the request can wait.
 */
export function* searchPlace(
  search: PlaceSearch,
): Generator<PlaceQuestion, PlaceSearchEnd, PlaceAnswer> {
  const { engines, loadOf, longestWaitMilliseconds } = search;
  let asked = 0;
  for (const { id, places } of engines.slice(0, LIGHT_ENGINES_ASKED)) {
    const mostTaken = Math.ceil(places * LIGHT_SHARE);
    const mostReadingMilliseconds = LIGHT_READING_MILLISECONDS;
    const terms = { mayWait: false, mostTaken, mostReadingMilliseconds };
    const answer = yield { engine: id, terms };
    if (answer.kind === 'granted') return answer;
    if (answer.kind !== 'silent') asked += 1;
  }
  const likely = engines
    .slice(0, ENGINES_ASKED)
    .toSorted((left, right) => loadOf(left.id) - loadOf(right.id));
  let soonest: { readonly id: string; readonly freeIn: number } | null = null;
  for (const { id } of likely) {
    const answer = yield { engine: id, terms: anyPlace };
    if (answer.kind === 'granted') return answer;
    if (answer.kind !== 'silent') asked += 1;
    if (answer.kind !== 'full') continue;
    const freeIn = answer.freeInMilliseconds;
    if (soonest === null || freeIn < soonest.freeIn) soonest = { id, freeIn };
  }
  if (soonest === null) return { kind: 'absent' };
  if (soonest.freeIn <= longestWaitMilliseconds) {
    const answer = yield { engine: soonest.id, terms: { ...anyPlace, mayWait: true } };
    if (answer.kind === 'granted') return answer;
    if (answer.kind === 'full') soonest = { ...soonest, freeIn: answer.freeInMilliseconds };
  }
  return { kind: 'full', freeInMilliseconds: soonest.freeIn, asked };
}
