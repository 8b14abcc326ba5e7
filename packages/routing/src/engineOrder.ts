import { FAILURE_COST } from './upstreamChoice.js';

/** What an entry knows of an engine when it looks for a slot. */
export interface EngineView {
  readonly id: string;
  readonly dataCentre: string;
  readonly slots: number;
  /**
   * Taken slots and waiting claims in its agent's latest answer; `null` before the first answer.
   */
  readonly taken: number | null;
  readonly viewAgeMilliseconds: number;
  /** Requests that this entry has in progress at the engine. */
  readonly ownRequests: number;
  /** True when the engine is known to have a model loaded. */
  readonly loaded: boolean;
  readonly suspended: boolean;
  /** Weighted share of the latest attempts that failed, from 0 to 1. */
  readonly failureRate: number;
  /** True when the agent that grants its slots recently failed to answer. */
  readonly agentUnresponsive: boolean;
}

/** Half-life of the weight of a reported load, in milliseconds: the usual duration of a stream. */
const VIEW_HALF_LIFE_MILLISECONDS = 800;

/** Cost of an engine in another data centre, as a share of its slots. */
const REMOTE_COST = 0.25;

/** Cost of an engine that is not known to have a model loaded. */
const UNLOADED_COST = 4;

/** Cost of an engine that is suspended after failures. */
const SUSPENDED_COST = 8;

/** Cost of an engine whose agent does not answer, so that its load is unknown. */
const UNRESPONSIVE_AGENT_COST = 1.5;

function engineCost(engine: EngineView, ownDataCentre: string): number {
  const reportWeight = 2 ** (-engine.viewAgeMilliseconds / VIEW_HALF_LIFE_MILLISECONDS);
  const reportedRequests = (engine.taken ?? 0) * reportWeight;
  const load = Math.max(reportedRequests, engine.ownRequests) / Math.max(1, engine.slots);
  return (
    load +
    engine.failureRate * FAILURE_COST +
    (engine.dataCentre === ownDataCentre ? 0 : REMOTE_COST) +
    (engine.loaded ? 0 : UNLOADED_COST) +
    (engine.suspended ? SUSPENDED_COST : 0) +
    (engine.agentUnresponsive ? UNRESPONSIVE_AGENT_COST : 0)
  );
}

/**
 * Orders engines by the likelihood of a free slot, the likeliest first.
 *
 * @remarks
 * The order may rely on stale views, also in bursts in which all entries look for slots: the
 * agents' grants limit the load of each engine, so a wrong guess costs one claim and not a late
 * answer.
 *
 * @param ownDataCentre - data centre of the entry.
 */
export function orderEngines(
  engines: readonly EngineView[],
  ownDataCentre: string,
): readonly string[] {
  return engines
    .map((engine) => ({ id: engine.id, cost: engineCost(engine, ownDataCentre) }))
    .sort((left, right) => left.cost - right.cost)
    .map(({ id }) => id);
}
