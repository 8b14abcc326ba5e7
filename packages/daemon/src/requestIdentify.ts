import { ResultCode } from '@burdockrail/common/resultCode.js';
import { digestOf } from '@burdockrail/common/digest.js';
import type {
  FleetConfiguration,
  RouteConfiguration,
  ServiceConfiguration,
} from '@burdockrail/fleet/fleetConfiguration.js';
import { promptPrefixDigests } from '@burdockrail/protocol/protocolPrefix.js';
import type { RequestFilter } from './requestFilter.js';
import { refused, type AcceptedRequest, type IdentifiedRequest } from './requestTypes.js';

/** Names of the request headers that callers set. */
export const requestHeaderNames = {
  team: 'burdockrail-team',
  priority: 'burdockrail-priority',
  idempotencyKey: 'idempotency-key',
  repeatable: 'burdockrail-repeatable',
  version: 'burdockrail-version',
} as const;

/** Priority of requests that name none; larger numbers go first. */
const DEFAULT_PRIORITY = 0;

/** Bounds of the priority that a caller may ask for. */
const PRIORITY_BOUND = 9;

/** Methods that HTTP defines as idempotent. */
const idempotentMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS']);

/** The route of a service that matches a request: the longest path prefix. */
function routeFor(
  service: ServiceConfiguration,
  request: AcceptedRequest,
): RouteConfiguration | undefined {
  return service.routes
    .filter((route) => route.method === request.method && request.path.startsWith(route.path))
    .sort((left, right) => right.path.length - left.path.length)[0];
}

/**
 * Tells whether a request may run more than once.
 *
 * @remarks
 * The caller's mark and the fleet's route decide. Without either, requests to models may be
 * repeated, and those to plain services when HTTP calls their method idempotent.
 */
function isRepeatable(service: ServiceConfiguration, request: AcceptedRequest): boolean {
  if (request.headers[requestHeaderNames.repeatable] === 'false') return false;
  const route = routeFor(service, request);
  if (route !== undefined) return route.repeatable;
  return service.kind === 'model' || idempotentMethods.has(request.method);
}

function priorityOf(request: AcceptedRequest): number {
  const asked = Number(request.headers[requestHeaderNames.priority] ?? DEFAULT_PRIORITY);
  if (!Number.isInteger(asked)) return DEFAULT_PRIORITY;
  return Math.max(-PRIORITY_BOUND, Math.min(PRIORITY_BOUND, asked));
}

/** Digest of what a request asks for, whoever sends it. */
function contentDigest({ method, path, body }: AcceptedRequest): string {
  return digestOf(Buffer.concat([Buffer.from(`${method} ${path}\n`), body]));
}

/** Creates the filter that looks a request's team and service up in the configuration in force. */
export function createIdentifyFilter(
  currentFleet: () => FleetConfiguration | undefined,
): RequestFilter<AcceptedRequest, IdentifiedRequest> {
  return async (request, next) => {
    const fleet = currentFleet();
    if (fleet === undefined) {
      return refused(ResultCode.NoUpstream, 'unknown', { detail: 'No configuration is in force.' });
    }
    const service = fleet.services.find(({ name }) => name === request.serviceName);
    const team = fleet.teams.find(({ name }) => name === request.headers[requestHeaderNames.team]);
    const key = request.headers[requestHeaderNames.idempotencyKey];
    const earlier = key === undefined ? 'not-run' : 'unknown';
    if (service === undefined) return refused(ResultCode.UnknownService, earlier);
    if (team === undefined) return refused(ResultCode.UnknownTeam, earlier);
    const repeatable = isRepeatable(service, request);
    const versionDigest = request.headers[requestHeaderNames.version];
    return next({
      ...request,
      team,
      service,
      priority: priorityOf(request),
      repeatable,
      contentDigest: contentDigest(request),
      prefixes: promptPrefixDigests(request.prompt),
      ...(repeatable || key === undefined ? {} : { idempotencyKey: key }),
      ...(versionDigest === undefined ? {} : { versionDigest }),
    });
  };
}
