import type { Route, RouteConfiguration, ServiceRules, TeamKeys } from './routeConfiguration.js';

/** A configuration indexed for lookups. */
export interface RouteTable {
  readonly configuration: RouteConfiguration;
  /** Returns the route of the host with the longest matching path prefix. */
  match(host: string, path: string): Route | undefined;
  teamOf(key: string): TeamKeys | undefined;
  service(name: string): ServiceRules | undefined;
}

function pathWithoutQuery(target: string): string {
  const queryStart = target.indexOf('?');
  return queryStart < 0 ? target : target.slice(0, queryStart);
}

/** Indexes a configuration; a route lookup takes one step per slash of the path. */
export function createRouteTable(configuration: RouteConfiguration): RouteTable {
  const routesByMatchKey = new Map<string, Route>();
  for (const route of configuration.routes) {
    routesByMatchKey.set(`${route.host.toLowerCase()} ${route.pathPrefix}`, route);
  }
  const teamsByKey = new Map<string, TeamKeys>();
  for (const team of configuration.teams) for (const key of team.keys) teamsByKey.set(key, team);
  const services = new Map(configuration.services.map((service) => [service.name, service]));
  return {
    configuration,
    match: (host, target) => {
      const hostname = host.replace(/:\d+$/u, '').toLowerCase();
      const path = pathWithoutQuery(target);
      let end = path.lastIndexOf('/');
      while (end >= 0) {
        const route = routesByMatchKey.get(`${hostname} ${path.slice(0, end + 1)}`);
        if (route !== undefined) return route;
        end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
      }
      return undefined;
    },
    teamOf: (key) => teamsByKey.get(key),
    service: (name) => services.get(name),
  };
}

/**
 * Chooses one of a route's services by weight.
 *
 * @param draw - uniform random number in [0, 1).
 */
export function chooseService(route: Route, draw: number): string {
  const totalWeight = route.services.reduce((sum, { weight }) => sum + weight, 0);
  let remainingWeight = draw * totalWeight;
  for (const { service, weight } of route.services) {
    remainingWeight -= weight;
    if (remainingWeight < 0 && weight > 0) return service;
  }
  return route.services.find(({ weight }) => weight > 0)?.service ?? '';
}
