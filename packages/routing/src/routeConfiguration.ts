/** Whether requests of a route may be retried, or are answered with a stream. */
export type RouteKind = 'repeatable' | 'once' | 'stream';

/** A service that receives a share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** A rule that routes requests by host and path to services. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time until a caller receives an answer, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Latency objective: time to the answer, or to a stream's first event, in milliseconds. */
  readonly objectiveMilliseconds: number;
  /** Latency objective: longest pause between two events of a stream, in milliseconds. */
  readonly pauseMilliseconds: number;
  /** Smaller values are served first; 0 is the highest priority. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** Most upstreams that one request may be sent to. */
  readonly attempts: number;
  /** True when callers need no API key. */
  readonly open: boolean;
  /** True when a stream may be resumed at another upstream. */
  readonly resumable: boolean;
}

/** Configuration of a service's upstreams. */
export interface ServiceRules {
  readonly name: string;
  /** Most connections that one upstream accepts from all entries together. */
  readonly maximumConnections: number;
  /** Set when the upstreams are model engines. */
  readonly engine: EngineRules | null;
  /** Set when the service distributes model weights. */
  readonly origin: OriginRules | null;
}

/** Size and speed of the engines of a service. */
export interface EngineRules {
  readonly slots: number;
  readonly layers: number;
  /** Number of chunks in one version of a model's weights. */
  readonly chunks: number;
  /** Models that the engines serve. */
  readonly models: readonly string[];
  /** Duration of a decode step without requests, in milliseconds. */
  readonly stepMilliseconds: number;
  /** Increase of a step's duration per running request, in milliseconds. */
  readonly stepPerRequestMilliseconds: number;
  /** Prefill throughput, in prompt tokens per second. */
  readonly readTokensPerSecond: number;
  /** Mean length of a prompt, in tokens. */
  readonly usualPrompt: number;
  /** Mean length of an answer, in tokens. */
  readonly usualAnswer: number;
}

/** Source of model weights. */
export interface OriginRules {
  /** `host:port`. */
  readonly address: string;
  readonly maximumConnections: number;
}

/** A team with the API keys of its callers. */
export interface TeamKeys {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the route's priority unless `null`. */
  readonly priority: number | null;
}

/** Size and time limits of a caller's requests and connections. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** Everything that operators configure about the handling of requests. */
export interface RouteConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceRules[];
  readonly teams: readonly TeamKeys[];
  readonly limits: CallerLimits;
}

/** Reason why a configuration is rejected; `null` for a valid one. */
export function configurationIssue(configuration: RouteConfiguration): string | null {
  const services = new Set(configuration.services.map(({ name }) => name));
  const matchKeys = new Set<string>();
  for (const route of configuration.routes) {
    const unknownService = route.services.find(({ service }) => !services.has(service));
    if (unknownService !== undefined) return `route ${route.name} refers to an unknown service`;
    const matchKey = `${route.host} ${route.pathPrefix}`;
    if (matchKeys.has(matchKey))
      return `route ${route.name} has the same host and path prefix as another route`;
    matchKeys.add(matchKey);
    const totalWeight = route.services.reduce((sum, service) => sum + service.weight, 0);
    if (totalWeight <= 0)
      return `the service weights of route ${route.name} do not have a positive sum`;
    if (route.timeoutMilliseconds <= 0) return `the timeout of route ${route.name} is not positive`;
    if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) {
      return `the path prefix of route ${route.name} does not begin and end with a slash`;
    }
  }
  return sharedKeyIssue(configuration.teams);
}

function sharedKeyIssue(teams: readonly TeamKeys[]): string | null {
  const teamsByKey = new Map<string, string>();
  for (const team of teams) {
    for (const key of team.keys) {
      const otherTeam = teamsByKey.get(key);
      if (otherTeam !== undefined && otherTeam !== team.name) {
        return `teams ${otherTeam} and ${team.name} share a key`;
      }
      teamsByKey.set(key, team.name);
    }
  }
  return null;
}
