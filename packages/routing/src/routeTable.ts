import type { Route, RouteConfiguration, ServiceRules, TeamKeys } from './routeConfiguration.js';

/** A configuration prepared for look-ups. */
export interface RouteTable {
  readonly configuration: RouteConfiguration;
  /** The route with the longest prefix that begins the path. */
  match(host: string, path: string): Route | undefined;
  teamOf(key: string): TeamKeys | undefined;
  service(name: string): ServiceRules | undefined;
}

/** Path without query. */
function pathOf(target: string): string {
  const query = target.indexOf('?');
  return query < 0 ? target : target.slice(0, query);
}

/** Prepares a configuration; a look-up takes one step for each slash of the path. */
export function createRouteTable(configuration: RouteConfiguration): RouteTable {
  const byPlace = new Map<string, Route>();
  for (const route of configuration.routes) {
    byPlace.set(`${route.host.toLowerCase()} ${route.pathPrefix}`, route);
  }
  const byKey = new Map<string, TeamKeys>();
  for (const team of configuration.teams) for (const key of team.keys) byKey.set(key, team);
  const services = new Map(configuration.services.map((service) => [service.name, service]));
  return {
    configuration,
    match: (host, target) => {
      const name = host.replace(/:\d+$/u, '').toLowerCase();
      const path = pathOf(target);
      let end = path.lastIndexOf('/');
      while (end >= 0) {
        const route = byPlace.get(`${name} ${path.slice(0, end + 1)}`);
        if (route !== undefined) return route;
        end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
      }
      return undefined;
    },
    teamOf: (key) => byKey.get(key),
    service: (name) => services.get(name),
  };
}

/**
 * Chooses one of a route's services by weight.
 *
 * @param draw - number in [0, 1).
 */
export function chooseService(route: Route, draw: number): string {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
  let left = draw * total;
  for (const { service, weight } of route.services) {
    left -= weight;
    if (left < 0 && weight > 0) return service;
  }
  return route.services.find(({ weight }) => weight > 0)?.service ?? '';
}
