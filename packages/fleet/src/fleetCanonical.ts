import { canonicalJson, digestOf, type Digest } from '@burdockrail/common/digest.js';
import { compareStrings } from '@burdockrail/common/strings.js';
import { stringify } from 'yaml';
import type {
  FleetConfiguration,
  RouteConfiguration,
  ServiceConfiguration,
} from './fleetConfiguration.js';
import { normalizeRoutePath } from './fleetRoute.js';

/** Maximum line width of the YAML text, in characters. */
const YAML_LINE_CHARACTERS = 100;

/**
 * Returns the configuration with all lists and upstream counts sorted by name.
 *
 * @remarks
 * Programs that declare the same fleet in different orders get the same document and digest.
 */
export function canonicalFleet(fleet: FleetConfiguration): FleetConfiguration {
  return {
    fleet: fleet.fleet,
    dataCentres: sortedBy(fleet.dataCentres, (dataCentre) => dataCentre.name),
    services: sortedBy(fleet.services.map(canonicalService), (service) => service.name),
    teams: sortedBy(fleet.teams, (team) => team.name),
  };
}

/** Canonical JSON of a configuration, as stored by the replicas and covered by the digest. */
export function fleetDocument(fleet: FleetConfiguration): string {
  return canonicalJson(canonicalFleet(fleet));
}

/** Digest of the canonical document. */
export function fleetDigest(fleet: FleetConfiguration): Digest {
  return digestOf(fleetDocument(fleet));
}

/** YAML of a configuration for operators; equal configurations give equal bytes. */
export function fleetYaml(fleet: FleetConfiguration): string {
  return stringify(canonicalFleet(fleet), {
    aliasDuplicateObjects: false,
    lineWidth: YAML_LINE_CHARACTERS,
  });
}

function canonicalService(service: ServiceConfiguration): ServiceConfiguration {
  return {
    ...service,
    upstreams: Object.fromEntries(
      sortedBy(Object.entries(service.upstreams), ([dataCentre]) => dataCentre),
    ),
    adapters: sortedBy(service.adapters, (adapter) => adapter.model),
    routes: sortedBy(
      service.routes.map(canonicalRoute),
      (route) => `${route.path} ${route.method}`,
    ),
  };
}

function canonicalRoute(route: RouteConfiguration): RouteConfiguration {
  return { ...route, path: normalizeRoutePath(route.path) };
}

function sortedBy<Item>(items: readonly Item[], key: (item: Item) => string): readonly Item[] {
  return [...items].sort((left, right) => compareStrings(key(left), key(right)));
}
