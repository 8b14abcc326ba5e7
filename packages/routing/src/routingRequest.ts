import type { UpstreamView } from '@burdockrail/membership/upstreamDirectory.js';

/** Inputs of the choice of an upstream, apart from the router's own state. */
export interface RoutingRequest {
  /** Current upstreams of the service. */
  readonly candidates: readonly UpstreamView[];
  /** Data centre of the routing process. */
  readonly dataCentre: string;
  readonly region: string;
  /** Agents at which this request has already been tried. */
  readonly excluded: ReadonlySet<string>;
  /** Digest of the version that must answer; absent when any live version may. */
  readonly versionDigest?: string;
  /** Prefix digests of the prompt, the shortest first; empty for plain services. */
  readonly prefixes: readonly string[];
  /** Key that is equal for equal requests; breaks ties between upstreams. */
  readonly tieBreakKey: string;
}

/**
 * Distance from the routing process: 0 for the same data centre, 1 for the same region, 2 for
 * another.
 */
export type Distance = 0 | 1 | 2;

/** An eligible upstream with the values that policies compare. */
export interface RoutingOption {
  readonly view: UpstreamView;
  readonly agent: string;
  readonly distance: Distance;
  /** Attempts of this process that are in progress at the upstream. */
  readonly inFlight: number;
  /** Running and waiting requests in the last report; 0 without a report. */
  readonly reported: number;
  /** Estimate of all requests at the upstream: the report plus requests sent since. */
  readonly estimated: number;
  readonly capacity: number;
  /** Leading blocks of the prompt that the upstream's prefix cache probably holds. */
  readonly cachedBlocks: number;
}

/** True when the upstream is able to answer the request. */
export function isEligible(request: RoutingRequest, view: UpstreamView): boolean {
  const { announcement } = view;
  if (!announcement.ready || announcement.state === 'leaving') return false;
  if (request.excluded.has(announcement.agent)) return false;
  if (request.versionDigest === undefined) return true;
  return announcement.serving?.digest === request.versionDigest;
}

export function distanceTo(request: RoutingRequest, view: UpstreamView): Distance {
  if (view.announcement.dataCentre === request.dataCentre) return 0;
  return view.announcement.region === request.region ? 1 : 2;
}
