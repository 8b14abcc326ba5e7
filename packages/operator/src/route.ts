/** HTTP methods of routes. */
export type RouteMethod = 'GET' | 'POST' | 'PUT' | 'DELETE';

/** A route of a service. */
export interface RouteDefinition {
  readonly method: RouteMethod;
  readonly path: string;
  readonly repeatable: boolean;
}

/** Declares that requests at or below a path may run at most once. */
export function neverRepeat(method: RouteMethod, path: string): RouteDefinition {
  return { method, path, repeatable: false };
}

/** Declares that requests at or below a path may be sent again after a failure. */
export function repeatable(method: RouteMethod, path: string): RouteDefinition {
  return { method, path, repeatable: true };
}
