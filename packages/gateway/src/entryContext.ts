import type { CallerElapsedEstimator } from '@burdockrail/limits/callerElapsedEstimator.js';
import type { QuarantineState } from '@burdockrail/limits/quarantineState.js';
import type { SharedRetryBudget } from '@burdockrail/limits/sharedRetryBudget.js';
import type { CrashSighting } from '@burdockrail/protocol/protocolDirectory.js';
import type { Beliefs } from './entryBeliefs.js';
import type { EntryUpstreams } from './entryUpstreams.js';
import type { GatewayContext } from './gatewayContext.js';
import type { UpstreamConnections } from './upstreamConnections.js';

/** What the parts of an entry share. */
export interface EntryContext extends GatewayContext {
  readonly beliefs: Beliefs;
  readonly upstreams: EntryUpstreams;
  readonly connections: UpstreamConnections;
  readonly retries: SharedRetryBudget;
  readonly callerElapsed: CallerElapsedEstimator;
  readonly quarantine: QuarantineState;
  /** Takes note of an upstream that broke off while it ran a content. */
  brokeOff(sighting: CrashSighting): void;
  /** Takes note of a content that ran to its end. */
  ranWhole(content: string): void;
}

/** Share of an upstream's connections that all entries together use. */
const CONNECTION_SHARE = 0.8;

/** Connections that an entry may open to an upstream whatever its share is. */
const LEAST_CONNECTIONS = 2;

/** Connections that this entry may have open to one upstream of a service. */
export function connectionLimit(entry: EntryContext, service: string): number {
  const { beliefs } = entry;
  const most = beliefs.table?.service(service)?.maximumConnections ?? 0;
  const part = Math.floor((most * CONNECTION_SHARE) / Math.max(1, beliefs.entries));
  return Math.max(LEAST_CONNECTIONS, part);
}
