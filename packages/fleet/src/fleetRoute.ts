import type { RouteConfiguration, ServiceConfiguration } from './fleetConfiguration.js';

/** Methods that HTTP defines as idempotent. */
const idempotentMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS']);

/** Origin that stands in while a path is resolved. */
const PLACEHOLDER_ORIGIN = 'http://upstream';

/** Path without slashes at its end; the root stays `/`. */
export function normalRoutePath(path: string): string {
  const trimmed = path.replace(/\/+$/u, '');
  return trimmed === '' ? '/' : trimmed;
}

/** Whether a path lies at or below a prefix; prefixes end at whole segments. */
export function isWithin(prefix: string, path: string): boolean {
  const outer = comparablePath(prefix);
  const inner = comparablePath(path);
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
    (best, route) => (best === undefined || isWithin(best.path, route.path) ? route : best),
    undefined,
  );
}

/**
 * Whether a request may be sent more than once.
 *
 * @remarks
 * The route decides. Without one, requests of models may be repeated, and those of plain services
 * when HTTP calls their method idempotent.
 */
export function isRepeatable(service: ServiceConfiguration, method: string, path: string): boolean {
  const route = findRoute(service, method, path);
  if (route !== undefined) return route.repeatable;
  return service.kind === 'model' || idempotentMethods.has(method);
}

/**
 * Form in which paths are compared.
 *
 * @remarks
 * Upstreams differ in what they take for the same path: doubled slashes, dot segments, escapes,
 * capital letters. All these spellings compare equal here, so that another spelling of a
 * non-repeatable path never falls under a wider repeatable route.
 */
function comparablePath(path: string): string {
  const withoutQuery = path.replace(/[?#].*$/su, '');
  const decoded = withoutEscapes(withoutQuery).replaceAll('\\', '/').replace(/\/+/gu, '/');
  const resolved = new URL(decoded.replace(/[?#]/gu, '_'), PLACEHOLDER_ORIGIN).pathname;
  return normalRoutePath(resolved.toLowerCase());
}

function withoutEscapes(path: string): string {
  try {
    return decodeURIComponent(path);
  } catch {
    return path;
  }
}
