/** What an entry knows of an upstream that a request could be sent to. */
export interface UpstreamCandidate {
  readonly id: string;
  readonly dataCentre: string;
  readonly slots: number;
  /** Requests that this entry has in progress at the upstream. */
  readonly ownRequests: number;
  /** Running and waiting requests in the upstream's latest report; `null` without a report. */
  readonly reportedRequests: number | null;
  /** Age of the report, in milliseconds. */
  readonly reportAgeMilliseconds: number;
  readonly suspended: boolean;
  readonly silent: boolean;
  /** Weighted share of the latest attempts that failed, from 0 to 1. */
  readonly failureRate: number;
}

/** Inputs of the choice other than the upstreams. */
export interface UpstreamChoiceContext {
  readonly dataCentre: string;
  /** Upstreams to which this request has already been sent. */
  readonly tried: ReadonlySet<string>;
  /** Uniform random number in [0, 1). */
  readonly draw: number;
}

/** Cost of an upstream in another data centre, as a share of its slots. */
const REMOTE_COST = 0.35;

/** Cost of an upstream whose latest attempts all failed, as a share of its slots. */
export const FAILURE_COST = 3;

/**
 * Half-life of the weight of a report, in milliseconds: about the time of two requests of one
 * entry.
 */
const REPORT_HALF_LIFE_MILLISECONDS = 400;

/** Costs that differ by less count as equal, so that entries spread over these upstreams. */
const COST_TOLERANCE = 0.1;

function upstreamCost(candidate: UpstreamCandidate, dataCentre: string): number {
  const slots = Math.max(1, candidate.slots);
  const reportWeight = 2 ** (-candidate.reportAgeMilliseconds / REPORT_HALF_LIFE_MILLISECONDS);
  const reportedRequests = (candidate.reportedRequests ?? 0) * reportWeight;
  const load = Math.max(candidate.ownRequests, reportedRequests) / slots;
  const distanceCost = candidate.dataCentre === dataCentre ? 0 : REMOTE_COST;
  return load + distanceCost + candidate.failureRate * FAILURE_COST;
}

/**
 * Chooses the upstream for a plain request; `undefined` when there is none left to try.
 *
 * @remarks
 * Suspended or silent upstreams are used only when there are no others. A small service with steady
 * load sends an entry few reports; combining the entry's own requests in progress with a decaying
 * report keeps it from sending a second request to an upstream that is busy with the first.
 */
export function chooseUpstream(
  candidates: readonly UpstreamCandidate[],
  context: UpstreamChoiceContext,
): UpstreamCandidate | undefined {
  const untried = candidates.filter(({ id }) => !context.tried.has(id));
  const available = untried.filter(({ suspended, silent }) => !suspended && !silent);
  const preferred =
    available.length > 0 ? available : untried.filter(({ suspended }) => !suspended);
  const usable = preferred.length > 0 ? preferred : untried;
  const costs = usable.map((candidate) => upstreamCost(candidate, context.dataCentre));
  const minimumCost = Math.min(...costs);
  const cheapest = usable.filter(
    (_candidate, index) => (costs[index] ?? 0) - minimumCost < COST_TOLERANCE,
  );
  return cheapest[Math.floor(context.draw * cheapest.length)];
}
