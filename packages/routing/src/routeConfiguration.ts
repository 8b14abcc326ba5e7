/** Whether a request of a route may be repeated, and what its answer is. */
export type RouteKind = 'repeatable' | 'once' | 'stream';

/** A service that a route sends a share of its requests to. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** A rule that sends requests of a host and path to services. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Time to the answer, or to a stream's first event, that callers expect, in milliseconds. */
  readonly objectiveMilliseconds: number;
  /** Longest pause between two events with which a stream is on time, in milliseconds. */
  readonly pauseMilliseconds: number;
  /** 0 goes first. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** Most upstreams that one request may be sent to. */
  readonly attempts: number;
  /** True when callers need no key. */
  readonly open: boolean;
  /** True when a stream may go on at another upstream. */
  readonly resumable: boolean;
}

/** What a configuration says of a service's upstreams. */
export interface ServiceRules {
  readonly name: string;
  /** Connections that one upstream takes from all entries together. */
  readonly maximumConnections: number;
  /** Present when the upstreams are model engines. */
  readonly engine: EngineRules | null;
  /** Present when the service hands out weights. */
  readonly origin: OriginRules | null;
}

/** How the engines of a service work. */
export interface EngineRules {
  readonly slots: number;
  readonly layers: number;
  /** Chunks that a version of a model's weights consists of. */
  readonly chunks: number;
  /** Models that the engines serve. */
  readonly models: readonly string[];
  /** Time of a step without requests, in milliseconds. */
  readonly stepMilliseconds: number;
  readonly stepPerRequestMilliseconds: number;
  readonly readTokensPerSecond: number;
  /** Mean size of a prompt and an answer, in tokens. */
  readonly usualPrompt: number;
  readonly usualAnswer: number;
}

/** Where weights come from. */
export interface OriginRules {
  /** `host:port`. */
  readonly address: string;
  readonly maximumConnections: number;
}

/** A team with the keys that its callers show. */
export interface TeamKeys {
  readonly name: string;
  readonly keys: readonly string[];
  /** Takes the place of the route's priority where present. */
  readonly priority: number | null;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** Everything that operators decide about requests. */
export interface RouteConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceRules[];
  readonly teams: readonly TeamKeys[];
  readonly limits: CallerLimits;
}

/** Reason for which a configuration is refused as a whole; `null` for a valid one. */
export function configurationIssue(configuration: RouteConfiguration): string | null {
  const services = new Set(configuration.services.map(({ name }) => name));
  const places = new Set<string>();
  for (const route of configuration.routes) {
    const unknown = route.services.find(({ service }) => !services.has(service));
    if (unknown !== undefined) return `route ${route.name} names no known service`;
    const place = `${route.host} ${route.pathPrefix}`;
    if (places.has(place)) return `route ${route.name} has the place of another route`;
    places.add(place);
    const weight = route.services.reduce((sum, service) => sum + service.weight, 0);
    if (weight <= 0) return `the weights of route ${route.name} add up to nothing`;
    if (route.timeoutMilliseconds <= 0) return `route ${route.name} has no time-out`;
    if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) {
      return `the prefix of route ${route.name} does not begin and end with a slash`;
    }
  }
  return keyIssue(configuration.teams);
}

function keyIssue(teams: readonly TeamKeys[]): string | null {
  const holders = new Map<string, string>();
  for (const team of teams) {
    for (const key of team.keys) {
      const holder = holders.get(key);
      if (holder !== undefined && holder !== team.name) {
        return `teams ${holder} and ${team.name} share a key`;
      }
      holders.set(key, team.name);
    }
  }
  return null;
}
