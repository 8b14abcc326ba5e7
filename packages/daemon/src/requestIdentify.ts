import { ResultCode } from '@burdockrail/common/resultCode.js';
import { digestOf } from '@burdockrail/common/digest.js';
import type {
  FleetConfiguration,
  RouteConfiguration,
  ServiceConfiguration,
} from '@burdockrail/fleet/fleetConfiguration.js';
import { promptPrefixDigests } from '@burdockrail/protocol/protocolPrefix.js';
import type { RequestFilter } from './requestFilter.js';
import { refusal, type AcceptedRequest, type IdentifiedRequest } from './requestTypes.js';

/** Names of the request headers that callers set. */
export const requestHeaderNames = {
  team: 'burdockrail-team',
  priority: 'burdockrail-priority',
  idempotencyKey: 'idempotency-key',
  repeatable: 'burdockrail-repeatable',
  version: 'burdockrail-version',
} as const;

/** Priority of requests without one; requests of higher priority go first. */
const DEFAULT_PRIORITY = 0;

/** Highest priority that a caller may request; the lowest is its negative. */
const MAXIMUM_PRIORITY = 9;

/** Methods that HTTP defines as idempotent. */
const idempotentMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS']);

/** Returns the matching route of a service with the longest path prefix. */
function findRoute(
  service: ServiceConfiguration,
  request: AcceptedRequest,
): RouteConfiguration | undefined {
  return service.routes
    .filter((route) => route.method === request.method && request.path.startsWith(route.path))
    .sort((left, right) => right.path.length - left.path.length)[0];
}

/**
 * Returns whether a request may run more than once.
 *
 * @remarks
 * A caller may declare its request non-repeatable; otherwise the fleet's route decides. Without a
 * route, requests to models are repeatable, and those to plain services if HTTP defines their
 * method as idempotent.
 */
function isRepeatable(service: ServiceConfiguration, request: AcceptedRequest): boolean {
  if (request.headers[requestHeaderNames.repeatable] === 'false') return false;
  const route = findRoute(service, request);
  if (route !== undefined) return route.repeatable;
  return service.kind === 'model' || idempotentMethods.has(request.method);
}

function priorityOf(request: AcceptedRequest): number {
  const requested = Number(request.headers[requestHeaderNames.priority] ?? DEFAULT_PRIORITY);
  if (!Number.isInteger(requested)) return DEFAULT_PRIORITY;
  return Math.max(-MAXIMUM_PRIORITY, Math.min(MAXIMUM_PRIORITY, requested));
}

/** Returns the digest of a request's content, which does not depend on its sender. */
function computeContentDigest({ method, path, body }: AcceptedRequest): string {
  return digestOf(Buffer.concat([Buffer.from(`${method} ${path}\n`), body]));
}

/** Creates the filter that looks up a request's team and service in the current configuration. */
export function createIdentifyFilter(
  currentFleet: () => FleetConfiguration | undefined,
): RequestFilter<AcceptedRequest, IdentifiedRequest> {
  return async (request, next) => {
    const fleet = currentFleet();
    if (fleet === undefined) {
      return refusal(ResultCode.NoUpstream, 'unknown', {
        detail: 'No configuration is in force.',
      });
    }
    const service = fleet.services.find(({ name }) => name === request.serviceName);
    const team = fleet.teams.find(({ name }) => name === request.headers[requestHeaderNames.team]);
    const key = request.headers[requestHeaderNames.idempotencyKey];
    const runState = key === undefined ? 'not-run' : 'unknown';
    if (service === undefined) return refusal(ResultCode.UnknownService, runState);
    if (team === undefined) return refusal(ResultCode.UnknownTeam, runState);
    const repeatable = isRepeatable(service, request);
    const contentDigest = computeContentDigest(request);
    const prefixes = promptPrefixDigests(request.prompt);
    const versionDigest = request.headers[requestHeaderNames.version];
    return next({
      ...request,
      team,
      service,
      priority: priorityOf(request),
      repeatable,
      contentDigest,
      prefixes,
      traits: {
        content: contentDigest,
        parts: prefixes.map((prefix) => `${service.name} ${prefix}`),
      },
      ...(repeatable || key === undefined ? {} : { idempotencyKey: key }),
      ...(versionDigest === undefined ? {} : { versionDigest }),
    });
  };
}
