import type { ByteBudget } from '@burdockrail/common/byteBudget.js';
import type { CallerElapsedEstimator } from '@burdockrail/limits/callerElapsedEstimator.js';
import type { SharedRetryBudget } from '@burdockrail/limits/sharedRetryBudget.js';
import type { ClusterView } from './clusterView.js';
import type { EntryQuarantine } from './entryQuarantine.js';
import type { EntryUpstreams } from './entryUpstreams.js';
import type { GatewayContext } from './gatewayContext.js';
import type { UpstreamDepartures } from './upstreamDepartures.js';
import type { UpstreamConnections } from './upstreamConnections.js';
import type { UpstreamLimits } from './upstreamLimits.js';
import type { UpstreamRests } from './upstreamRests.js';

/** Dependencies shared by the modules of an entry. */
export interface EntryContext extends GatewayContext {
  readonly clusterView: ClusterView;
  readonly upstreams: EntryUpstreams;
  readonly connections: UpstreamConnections;
  readonly limits: UpstreamLimits;
  readonly departures: UpstreamDepartures;
  readonly rests: UpstreamRests;
  readonly retryBudget: SharedRetryBudget;
  readonly callerElapsed: CallerElapsedEstimator;
  readonly quarantine: EntryQuarantine;
  /** Memory for answers that are buffered until they are complete. */
  readonly answerMemory: ByteBudget;
}

/** Fraction of an upstream's connection limit that all entries together may use. */
const CONNECTION_FRACTION = 0.8;

/** Connections that an entry may always open to an upstream, even if its share is smaller. */
const MINIMUM_CONNECTIONS = 2;

/** Maximum number of connections from this entry to one upstream of a service. */
export function connectionLimit(entry: EntryContext, service: string): number {
  const { clusterView } = entry;
  const maximumConnections = clusterView.table?.service(service)?.maximumConnections ?? 0;
  const share = Math.floor(
    (maximumConnections * CONNECTION_FRACTION) / Math.max(1, clusterView.entries),
  );
  return Math.max(MINIMUM_CONNECTIONS, share);
}
