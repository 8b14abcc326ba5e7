import type { Digest } from '@burdockrail/common/digest.js';
import type { CommittedConfiguration } from '@burdockrail/protocol/protocolConfiguration.js';
import type { ConfigurationInForce } from './configurationHolder.js';

/** Factor by which a term outweighs every revision within it. */
const TERM_FACTOR = 2 ** 32;

/** A version that an engine is to load. */
export interface VersionTarget {
  readonly model: string;
  readonly version: string;
  /** Digest that the configuration names, if it names one. */
  readonly expectedDigest?: Digest;
}

/** What the configuration in force asks of the engine of one service. */
export interface WeightsTarget {
  readonly weights: VersionTarget;
  readonly adapters: readonly VersionTarget[];
  /** Fencing number of orders that carry out this configuration. */
  readonly fencing: number;
}

/** Fencing number of orders under a configuration. */
export function fencingNumber(committed: CommittedConfiguration): number {
  return committed.term * TERM_FACTOR + committed.revision;
}

function versionTarget(version: {
  readonly model: string;
  readonly version: string;
  readonly digest?: Digest | undefined;
}): VersionTarget {
  const { model, digest } = version;
  return {
    model,
    version: version.version,
    ...(digest === undefined ? {} : { expectedDigest: digest }),
  };
}

/** Gives the target of a service; null when the service has no weights. */
export function weightsTarget(
  configuration: ConfigurationInForce,
  serviceName: string,
): WeightsTarget | null {
  const service = configuration.fleet.services.find(({ name }) => name === serviceName);
  if (service?.weights === undefined) return null;
  return {
    weights: versionTarget(service.weights),
    adapters: service.adapters.map(versionTarget),
    fencing: fencingNumber(configuration.committed),
  };
}

function sameVersion(left: VersionTarget, right: VersionTarget): boolean {
  return (
    left.model === right.model &&
    left.version === right.version &&
    left.expectedDigest === right.expectedDigest
  );
}

/** Tells whether two targets ask for the same bytes, whatever their fencing numbers. */
export function sameContents(left: WeightsTarget, right: WeightsTarget): boolean {
  if (!sameVersion(left.weights, right.weights)) return false;
  if (left.adapters.length !== right.adapters.length) return false;
  return left.adapters.every((adapter, position) => {
    const other = right.adapters[position];
    return other !== undefined && sameVersion(adapter, other);
  });
}
