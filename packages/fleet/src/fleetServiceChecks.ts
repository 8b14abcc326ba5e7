import type { FieldIssue } from '@burdockrail/common/fieldIssue.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { findRepeatedStrings } from '@burdockrail/common/strings.js';
import type { ServiceConfiguration } from './fleetConfiguration.js';
import { isPathWithin, normalizeRoutePath } from './fleetRoute.js';

type ServiceCheck = (
  service: ServiceConfiguration,
  path: string,
  dataCentres: ReadonlySet<string>,
) => readonly FieldIssue[];

/** Issues that concern several fields of one service. */
export function serviceIssues(
  service: ServiceConfiguration,
  dataCentres: ReadonlySet<string>,
): readonly FieldIssue[] {
  const path = `services[${service.name}]`;
  return serviceChecks.flatMap((check) => check(service, path, dataCentres));
}

const unknownDataCentres: ServiceCheck = (service, path, dataCentres) => {
  const references = [
    { path: `${path}.home`, name: service.home },
    ...Object.keys(service.upstreams).map((name) => ({ path: `${path}.upstreams.${name}`, name })),
  ];
  return references
    .filter((reference) => !dataCentres.has(reference.name))
    .map((reference) => ({
      code: ResultCode.FleetDataCentreUnknown,
      path: reference.path,
      expected: `one of the data centres ${[...dataCentres].sort().join(', ')}`,
      found: reference.name,
    }));
};

const homeWithoutUpstreams: ServiceCheck = (service, path) => {
  const count = service.upstreams[service.home] ?? 0;
  if (count > 0) return [];
  return [
    {
      code: ResultCode.FleetHomeWithoutUpstreams,
      path: `${path}.upstreams.${service.home}`,
      expected: 'at least 1 upstream in the home data centre, which goes on when it is cut off',
      found: String(count),
    },
  ];
};

const missingWeights: ServiceCheck = (service, path) => {
  if (service.kind !== 'model' || service.weights !== undefined) return [];
  return [
    {
      code: ResultCode.FleetWeightsMissing,
      path: `${path}.weights`,
      expected: 'a version, because the service is a model',
      found: 'nothing',
    },
  ];
};

const disallowedWeights: ServiceCheck = (service, path) => {
  if (service.kind !== 'plain') return [];
  const fields = [
    ...(service.weights === undefined ? [] : ['weights']),
    ...(service.adapters.length === 0 ? [] : ['adapters']),
  ];
  return fields.map((field) => ({
    code: ResultCode.FleetWeightsNotAllowed,
    path: `${path}.${field}`,
    expected: 'nothing, because the service is plain',
    found: 'a version',
  }));
};

const repeatedAdapters: ServiceCheck = (service, path) => {
  return findRepeatedStrings(service.adapters.map((adapter) => adapter.model)).map(
    ({ text, count }) => ({
      code: ResultCode.FleetNameRepeated,
      path: `${path}.adapters[${text}]`,
      expected: 'one version of each adapter',
      found: `it ${count} times`,
    }),
  );
};

const repeatedRoutes: ServiceCheck = (service, path) => {
  const keys = service.routes.map((route) => `${route.method} ${normalizeRoutePath(route.path)}`);
  return findRepeatedStrings(keys).map(({ text, count }) => ({
    code: ResultCode.FleetNameRepeated,
    path: `${path}.routes[${text}]`,
    expected: 'each method and path once',
    found: `it ${count} times`,
  }));
};

// A repeatable route inside a non-repeatable one would allow a request that the outer route protects
// to run twice. The reverse is allowed: it only restricts further requests to one run.
const conflictingRoutes: ServiceCheck = (service, path) => {
  const protectedRoutes = service.routes.filter((route) => !route.repeatable);
  return service.routes
    .filter((route) => route.repeatable)
    .flatMap((route) => {
      const outerRoute = protectedRoutes.find(
        (other) => other.method === route.method && isPathWithin(other.path, route.path),
      );
      if (outerRoute === undefined) return [];
      return [
        {
          code: ResultCode.FleetRoutesConflict,
          path: `${path}.routes[${route.method} ${route.path}].repeatable`,
          expected: `false, as for ${outerRoute.method} ${outerRoute.path} around it`,
          found: 'true',
        },
      ];
    });
};

const serviceChecks: readonly ServiceCheck[] = [
  unknownDataCentres,
  homeWithoutUpstreams,
  missingWeights,
  disallowedWeights,
  repeatedAdapters,
  repeatedRoutes,
  conflictingRoutes,
];
