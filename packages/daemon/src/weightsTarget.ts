import type { Digest } from '@burdockrail/common/digest.js';
import type { CommittedConfiguration } from '@burdockrail/protocol/protocolConfiguration.js';
import type { ConfigurationInForce } from './configurationHolder.js';

/** Multiplier of the term in a fencing token; greater than any revision. */
const REVISIONS_PER_TERM = 2 ** 32;

/** A version that an engine has to load. */
export interface VersionTarget {
  readonly model: string;
  readonly version: string;
  /** Digest in the configuration, if any. */
  readonly expectedDigest?: Digest;
}

/** Weights that the configuration in force specifies for the engines of one service. */
export interface WeightsTarget {
  readonly weights: VersionTarget;
  readonly adapters: readonly VersionTarget[];
  /** Fencing token of orders under this configuration. */
  readonly fencingToken: number;
}

/** Fencing token of orders under a configuration: ordered by term, then by revision. */
export function createFencingToken(committed: CommittedConfiguration): number {
  return committed.term * REVISIONS_PER_TERM + committed.revision;
}

function toVersionTarget(reference: {
  readonly model: string;
  readonly version: string;
  readonly digest?: Digest | undefined;
}): VersionTarget {
  const { model, digest } = reference;
  return {
    model,
    version: reference.version,
    ...(digest === undefined ? {} : { expectedDigest: digest }),
  };
}

/** Target of a service; null if the service has no weights. */
export function weightsTarget(
  configuration: ConfigurationInForce,
  serviceName: string,
): WeightsTarget | null {
  const service = configuration.fleet.services.find(({ name }) => name === serviceName);
  if (service?.weights === undefined) return null;
  return {
    weights: toVersionTarget(service.weights),
    adapters: service.adapters.map(toVersionTarget),
    fencingToken: createFencingToken(configuration.committed),
  };
}

function isSameVersion(left: VersionTarget, right: VersionTarget): boolean {
  return (
    left.model === right.model &&
    left.version === right.version &&
    left.expectedDigest === right.expectedDigest
  );
}

/** Whether two targets specify the same versions, regardless of their fencing tokens. */
export function hasSameContents(left: WeightsTarget, right: WeightsTarget): boolean {
  if (!isSameVersion(left.weights, right.weights)) return false;
  if (left.adapters.length !== right.adapters.length) return false;
  return left.adapters.every((adapter, position) => {
    const other = right.adapters[position];
    return other !== undefined && isSameVersion(adapter, other);
  });
}
