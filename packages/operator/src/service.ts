import type { RouteDefinition } from './route.js';
import type { VersionDefinition } from './version.js';

/** What model and plain services have in common. */
interface ServiceOptions<DataCentre extends string> {
  /** Data centre whose ledger decides on the non-repeatable requests of the service. */
  readonly home: NoInfer<DataCentre>;
  /** Expected count of upstreams by data centre; the home has at least one. */
  readonly upstreams: Readonly<Record<DataCentre, number>>;
  /** Whether the upstreams refuse orders with an old fencing number; false when left out. */
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
