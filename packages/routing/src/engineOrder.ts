/** An engine as an entry knows it when it looks for a place. */
export interface EngineView {
  readonly id: string;
  readonly dataCentre: string;
  readonly places: number;
  /** Taken places and waiting claims by its agent's latest answer; `null` before the first. */
  readonly taken: number | null;
  readonly viewAgeMilliseconds: number;
  readonly ownRequests: number;
  /** True when the engine is known to hold a model. */
  readonly loaded: boolean;
  readonly suspended: boolean;
  /** True when the agent that grants its places did not answer a moment ago. */
  readonly ungranted: boolean;
}

/** What the order depends on besides the engines. */
export interface EngineOrderQuestion {
  readonly dataCentre: string;
  /** Gives numbers in [0, 1). */
  readonly draw: () => number;
}

/** Age at which a view of an engine counts for half, in milliseconds: a stream's usual length. */
const VIEW_HALF_LIFE_MILLISECONDS = 800;

/** Cost of another data centre, in shares of an engine's places. */
const REMOTE_COST = 0.25;

/** Cost of an engine that is not known to hold a model. */
const UNLOADED_COST = 4;

/** Cost of an engine that failed a moment ago. */
const SUSPENDED_COST = 8;

/** Cost of an engine whose places nobody grants: its load is not known. */
const UNGRANTED_COST = 1.5;

/** Spread of random costs, so that entries with equal views do not all ask the same engine. */
const SPREAD = 0.25;

function cost(engine: EngineView, question: EngineOrderQuestion): number {
  const weight = 2 ** (-engine.viewAgeMilliseconds / VIEW_HALF_LIFE_MILLISECONDS);
  const seen = (engine.taken ?? 0) * weight;
  const load = Math.max(seen, engine.ownRequests) / Math.max(1, engine.places);
  return (
    load +
    (engine.dataCentre === question.dataCentre ? 0 : REMOTE_COST) +
    (engine.loaded ? 0 : UNLOADED_COST) +
    (engine.suspended ? SUSPENDED_COST : 0) +
    (engine.ungranted ? UNGRANTED_COST : 0) +
    question.draw() * SPREAD
  );
}

/**
 * Orders engines by where a free place is likely, the likeliest first.
 *
 * @remarks
 * Answers bursts in which all entries look for places at once: the agents' grants bound what an
 * engine gets, so a wrong guess costs one question and not a late answer.
 */
export function orderEngines(
  engines: readonly EngineView[],
  question: EngineOrderQuestion,
): readonly string[] {
  return engines
    .map((engine) => ({ id: engine.id, cost: cost(engine, question) }))
    .sort((left, right) => left.cost - right.cost)
    .map(({ id }) => id);
}
