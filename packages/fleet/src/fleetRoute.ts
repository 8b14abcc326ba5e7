import type { RouteConfiguration, ServiceConfiguration } from './fleetConfiguration.js';

/** Methods that HTTP defines as idempotent. */
const idempotentMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS']);

/** Base URL for resolving paths; it does not appear in the result. */
const PLACEHOLDER_ORIGIN = 'http://upstream';

/** Path without trailing slashes; the root stays `/`. */
export function normalizeRoutePath(path: string): string {
  const trimmed = path.replace(/\/+$/u, '');
  return trimmed === '' ? '/' : trimmed;
}

/** Whether a path equals or lies below a prefix; only whole segments match. */
export function isPathWithin(prefix: string, path: string): boolean {
  const outerPath = comparablePath(prefix);
  const innerPath = comparablePath(path);
  return outerPath === '/' || innerPath === outerPath || innerPath.startsWith(`${outerPath}/`);
}

/** The most specific route of a service that matches a request, if any. */
export function findRoute(
  service: ServiceConfiguration,
  method: string,
  path: string,
): RouteConfiguration | undefined {
  const matchingRoutes = service.routes.filter(
    (route) => route.method === method && isPathWithin(route.path, path),
  );
  return matchingRoutes.reduce<RouteConfiguration | undefined>(
    (best, route) => (best === undefined || isPathWithin(best.path, route.path) ? route : best),
    undefined,
  );
}

/**
 * Whether a request may be sent more than once.
 *
 * @remarks
 * The matching route decides. Without one, requests of models may be repeated, and those of plain
 * services only if HTTP defines their method as idempotent.
 */
export function isRepeatable(service: ServiceConfiguration, method: string, path: string): boolean {
  const route = findRoute(service, method, path);
  if (route !== undefined) return route.repeatable;
  return service.kind === 'model' || idempotentMethods.has(method);
}

/**
 * Normalizes a path for comparison.
 *
 * @remarks
 * Upstreams differ in which spellings they treat as the same path: doubled slashes, dot segments,
 * escapes, capital letters. All these spellings compare equal here, so that no spelling of a
 * non-repeatable path matches a more general repeatable route.
 */
function comparablePath(path: string): string {
  const withoutQuery = path.replace(/[?#].*$/su, '');
  const decoded = decodeEscapes(withoutQuery).replaceAll('\\', '/').replace(/\/+/gu, '/');
  const resolved = new URL(decoded.replace(/[?#]/gu, '_'), PLACEHOLDER_ORIGIN).pathname;
  return normalizeRoutePath(resolved.toLowerCase());
}

function decodeEscapes(path: string): string {
  try {
    return decodeURIComponent(path);
  } catch {
    return path;
  }
}
