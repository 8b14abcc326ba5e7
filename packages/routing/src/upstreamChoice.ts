/** An upstream that a request could be sent to, as the deciding entry knows it. */
export interface UpstreamCandidate {
  readonly id: string;
  readonly dataCentre: string;
  readonly slots: number;
  /** Requests that this entry has in progress there. */
  readonly ownRequests: number;
  /** Requests running and waiting there by its latest report; `null` without one. */
  readonly reportedRequests: number | null;
  /** Age of the report, in milliseconds. */
  readonly reportAgeMilliseconds: number;
  readonly suspended: boolean;
  readonly silent: boolean;
  readonly failureShare: number;
}

/** What the choice of an upstream depends on besides the upstreams. */
export interface ChoiceQuestion {
  readonly dataCentre: string;
  /** Upstreams that this request has been sent to before. */
  readonly tried: ReadonlySet<string>;
  /** Number in [0, 1). */
  readonly draw: number;
}

/** Cost of leaving the data centre, in shares of an upstream's slots. */
const REMOTE_COST = 0.35;

/** Cost of an upstream all of whose latest attempts failed, in shares of its slots. */
const FAILURE_COST = 3;

/** Age at which a report counts for half, in milliseconds: about two requests of one entry. */
const REPORT_HALF_LIFE_MILLISECONDS = 400;

/** Costs that differ by less count as equal, so that entries spread over them. */
const EQUAL_COST = 0.1;

function cost(candidate: UpstreamCandidate, dataCentre: string): number {
  const slots = Math.max(1, candidate.slots);
  const weight = 2 ** (-candidate.reportAgeMilliseconds / REPORT_HALF_LIFE_MILLISECONDS);
  const reported = (candidate.reportedRequests ?? 0) * weight;
  const load = Math.max(candidate.ownRequests, reported) / slots;
  const distance = candidate.dataCentre === dataCentre ? 0 : REMOTE_COST;
  return load + distance + candidate.failureShare * FAILURE_COST;
}

/**
 * Chooses the upstream for a plain request; `undefined` when there is none left to try.
 *
 * @remarks
 * Upstreams that are suspended or silent are used only when there is no other. Answers steady load
 * on small services, where an entry sees few reports: its own requests in progress and a decaying
 * report together keep it from sending a second request to an upstream that is busy with the first.
 */
export function chooseUpstream(
  candidates: readonly UpstreamCandidate[],
  question: ChoiceQuestion,
): UpstreamCandidate | undefined {
  const untried = candidates.filter(({ id }) => !question.tried.has(id));
  const sound = untried.filter(({ suspended, silent }) => !suspended && !silent);
  const heard = sound.length > 0 ? sound : untried.filter(({ suspended }) => !suspended);
  const usable = heard.length > 0 ? heard : untried;
  const costs = usable.map((candidate) => cost(candidate, question.dataCentre));
  const least = Math.min(...costs);
  const equal = usable.filter((_candidate, place) => (costs[place] ?? 0) - least < EQUAL_COST);
  return equal[Math.floor(question.draw * equal.length)];
}
