import type { RouteConfiguration, ServiceConfiguration } from './fleetConfiguration.js';

/** Path without slashes at its end; the root stays `/`. */
export function normalRoutePath(path: string): string {
  const trimmed = path.replace(/\/+$/u, '');
  return trimmed === '' ? '/' : trimmed;
}

/** Whether a path lies at or below a prefix; prefixes end at whole segments. */
export function isWithin(prefix: string, path: string): boolean {
  const outer = normalRoutePath(prefix);
  const inner = normalRoutePath(path);
  return outer === '/' || inner === outer || inner.startsWith(`${outer}/`);
}

/** The most specific route of a service that covers a request, if any. */
export function findRoute(
  service: ServiceConfiguration,
  method: string,
  path: string,
): RouteConfiguration | undefined {
  const covering = service.routes.filter(
    (route) => route.method === method && isWithin(route.path, path),
  );
  return covering.reduce<RouteConfiguration | undefined>(
    (best, route) =>
      best === undefined || normalRoutePath(route.path).length > normalRoutePath(best.path).length
        ? route
        : best,
    undefined,
  );
}

/**
 * Whether a request may be sent more than once.
 *
 * @remarks
 * Requests of model services and reads are repeatable unless a route says otherwise; a request of a
 * plain service that no route covers is not, because nobody said that it may be repeated.
 */
export function isRepeatable(service: ServiceConfiguration, method: string, path: string): boolean {
  const route = findRoute(service, method, path);
  if (route !== undefined) return route.repeatable;
  return service.kind === 'model' || method === 'GET' || method === 'HEAD';
}
