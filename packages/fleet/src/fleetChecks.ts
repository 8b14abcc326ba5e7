import { toFieldIssues, type FieldIssue } from '@burdockrail/common/fieldIssue.js';
import { ResultCode } from '@burdockrail/common/resultCode.js';
import { findRepeatedStrings } from '@burdockrail/common/strings.js';
import { canonicalFleet } from './fleetCanonical.js';
import {
  fleetConfigurationSchema,
  type FleetConfiguration,
  type VersionConfiguration,
} from './fleetConfiguration.js';
import { serviceIssues } from './fleetServiceChecks.js';

/** Result of {@link checkFleet}. */
export type FleetCheck =
  | { readonly kind: 'valid'; readonly fleet: FleetConfiguration }
  | { readonly kind: 'invalid'; readonly issues: readonly FieldIssue[] };

/**
 * Validates a value as a fleet configuration.
 *
 * @returns the configuration in canonical form, or all issues that were found. Rules across fields
 * are checked only when each field by itself is valid.
 */
export function checkFleet(document: unknown): FleetCheck {
  const parsed = fleetConfigurationSchema.safeParse(document);
  if (!parsed.success) {
    const issues = toFieldIssues(ResultCode.FleetFieldInvalid, document, parsed.error.issues);
    return { kind: 'invalid', issues };
  }
  const issues = fleetIssues(parsed.data);
  if (issues.length > 0) return { kind: 'invalid', issues };
  return { kind: 'valid', fleet: canonicalFleet(parsed.data) };
}

/** Validates a JSON document, as stored by the replicas. */
export function checkFleetDocument(document: string): FleetCheck {
  try {
    return checkFleet(JSON.parse(document));
  } catch {
    const issue = {
      path: '(root)',
      expected: 'a JSON document',
      found: 'text that is not valid JSON',
    };
    return { kind: 'invalid', issues: [{ code: ResultCode.FleetFieldInvalid, ...issue }] };
  }
}

function fleetIssues(fleet: FleetConfiguration): readonly FieldIssue[] {
  const dataCentres = new Set(fleet.dataCentres.map((dataCentre) => dataCentre.name));
  return [
    ...repeatedNames('dataCentres', fleet.dataCentres),
    ...repeatedNames('services', fleet.services),
    ...repeatedNames('teams', fleet.teams),
    ...fleet.services.flatMap((service) => serviceIssues(service, dataCentres)),
    ...ambiguousVersions(fleet),
    ...missingTeams(fleet),
  ];
}

function repeatedNames(
  list: string,
  elements: readonly { readonly name: string }[],
): readonly FieldIssue[] {
  return findRepeatedStrings(elements.map((element) => element.name)).map(({ text, count }) => ({
    code: ResultCode.FleetNameRepeated,
    path: `${list}[${text}]`,
    expected: 'a name that no other element of the list has',
    found: `it ${count} times`,
  }));
}

interface VersionAtPath {
  readonly path: string;
  readonly version: VersionConfiguration;
}

function versionsWithPaths(fleet: FleetConfiguration): readonly VersionAtPath[] {
  return fleet.services.flatMap((service) => {
    const path = `services[${service.name}]`;
    const weights = service.weights;
    const adapters = service.adapters.map((version) => ({
      path: `${path}.adapters[${version.model}]`,
      version,
    }));
    return weights === undefined
      ? adapters
      : [{ path: `${path}.weights`, version: weights }, ...adapters];
  });
}

function ambiguousVersions(fleet: FleetConfiguration): readonly FieldIssue[] {
  const digestByVersion = new Map<string, string>();
  const issues: FieldIssue[] = [];
  for (const { path, version } of versionsWithPaths(fleet)) {
    if (version.digest === undefined) continue;
    const key = `${version.model}@${version.version}`;
    const firstDigest = digestByVersion.get(key);
    if (firstDigest === undefined) digestByVersion.set(key, version.digest);
    else if (firstDigest !== version.digest) {
      issues.push({
        code: ResultCode.FleetVersionAmbiguous,
        path: `${path}.digest`,
        expected: `${firstDigest}, the digest of ${key} elsewhere in the fleet`,
        found: version.digest,
      });
    }
  }
  return issues;
}

function missingTeams(fleet: FleetConfiguration): readonly FieldIssue[] {
  if (fleet.services.length === 0 || fleet.teams.length > 0) return [];
  return [
    {
      code: ResultCode.FleetNoTeams,
      path: 'teams',
      expected: 'at least one team, because requests of unknown teams are refused',
      found: '[]',
    },
  ];
}
