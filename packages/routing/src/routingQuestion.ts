import type { UpstreamView } from '@burdockrail/membership/upstreamDirectory.js';

/** What a choice of an upstream depends on, apart from the router's own memory. */
export interface RoutingQuestion {
  /** Present upstreams of the service. */
  readonly candidates: readonly UpstreamView[];
  /** Data centre of the process that asks. */
  readonly dataCentre: string;
  readonly region: string;
  /** Agents that this request has been tried at. */
  readonly excluded: ReadonlySet<string>;
  /** Digest that the answer must come from; absent when any live version will do. */
  readonly versionDigest?: string;
  /** Prefix digests of the prompt, the shortest first; empty for plain services. */
  readonly prefixes: readonly string[];
  /** Text that is equal for equal requests. */
  readonly spreadKey: string;
}

/** Distance from the asking process to an upstream: 0 own data centre, 1 region, 2 beyond. */
export type Distance = 0 | 1 | 2;

/** An upstream that may be chosen, with what the policies compare. */
export interface RoutingOption {
  readonly view: UpstreamView;
  readonly agent: string;
  readonly distance: Distance;
  /** Attempts of this process that are in progress at the upstream. */
  readonly inFlight: number;
  /** Running and waiting requests as reported last; 0 without a report. */
  readonly reported: number;
  /** Estimate of all requests at the upstream: the report and what was sent since. */
  readonly estimated: number;
  readonly capacity: number;
  /** Leading blocks of the prompt that the upstream's prefix cache probably holds. */
  readonly cachedBlocks: number;
}

/** True when the upstream can answer the request at all. */
export function isEligible(question: RoutingQuestion, view: UpstreamView): boolean {
  const { announcement } = view;
  if (!announcement.ready || announcement.state === 'leaving') return false;
  if (question.excluded.has(announcement.agent)) return false;
  if (question.versionDigest === undefined) return true;
  return announcement.serving?.digest === question.versionDigest;
}

/** Distance between the asking process and an upstream. */
export function distanceTo(question: RoutingQuestion, view: UpstreamView): Distance {
  if (view.announcement.dataCentre === question.dataCentre) return 0;
  return view.announcement.region === question.region ? 1 : 2;
}
