import type { RouteDefinition } from './route.js';
import type { VersionDefinition } from './version.js';

/** Options that model and plain services share. */
interface ServiceOptions<DataCentre extends string> {
  /** Data centre whose ledger coordinates the non-repeatable requests of the service. */
  readonly home: NoInfer<DataCentre>;
  /** Expected number of upstreams per data centre; the home must have at least one. */
  readonly upstreams: Readonly<Record<DataCentre, number>>;
  /**
   * Whether the upstreams reject requests with a stale fencing token by themselves; defaults to
   * false.
   */
  readonly checksFencing?: boolean;
  readonly routes?: readonly RouteDefinition[];
}

/** Options of {@link modelService}. */
export interface ModelServiceOptions<DataCentre extends string> extends ServiceOptions<DataCentre> {
  readonly weights: VersionDefinition;
  readonly adapters?: readonly VersionDefinition[];
}

/** Options of {@link plainService}. */
export type PlainServiceOptions<DataCentre extends string> = ServiceOptions<DataCentre>;

/** A declared service. */
export interface ServiceDefinition<DataCentre extends string> {
  readonly name: string;
  readonly kind: 'model' | 'plain';
  readonly home: DataCentre;
  readonly upstreams: Readonly<Record<string, number>>;
  readonly weights?: VersionDefinition;
  readonly adapters?: readonly VersionDefinition[];
  readonly checksFencing?: boolean;
  readonly routes?: readonly RouteDefinition[];
}

/** Declares a service whose upstreams are model engines. */
export function modelService<const DataCentre extends string>(
  name: string,
  options: ModelServiceOptions<DataCentre>,
): ServiceDefinition<DataCentre> {
  return { name, kind: 'model', ...options };
}

/** Declares a service whose upstreams are ordinary HTTP servers. */
export function plainService<const DataCentre extends string>(
  name: string,
  options: PlainServiceOptions<DataCentre>,
): ServiceDefinition<DataCentre> {
  return { name, kind: 'plain', ...options };
}
