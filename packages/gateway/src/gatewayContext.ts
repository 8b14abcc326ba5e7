import type { SeededRandom } from '@burdockrail/common/seededRandom.js';
import type { TimeSource } from '@burdockrail/common/timeSource.js';
import type { Address, PeerIdentity } from '@burdockrail/protocol/protocolAddress.js';
import type { EventLog } from '@burdockrail/telemetry/eventLog.js';
import type { MetricRegistry } from '@burdockrail/telemetry/metricRegistry.js';
import type { PeerClient } from '@burdockrail/transport/peerClient.js';
import type { TrafficMeter } from '@burdockrail/transport/trafficMeter.js';
import type { ActorSystemRef } from 'nact';
import type { Dialect } from './dialect.js';
import type { GatewaySettings } from './gatewaySettings.js';

/** What all roles of one gateway process share. */
export interface GatewayContext {
  readonly settings: GatewaySettings;
  readonly identity: PeerIdentity;
  readonly client: PeerClient;
  /** Bytes that this process has sent to others, by family of message. */
  readonly traffic: TrafficMeter;
  readonly time: TimeSource;
  readonly random: SeededRandom;
  readonly log: EventLog;
  readonly metrics: MetricRegistry;
  readonly actors: ActorSystemRef;
  readonly dialect: Dialect;
  /** Reads the seeds of the settings file as it is now; `null` when it cannot be read. */
  readonly readSeeds: () => readonly Address[] | null;
}

/** A role that runs in a process. Disposal ends it at once; draining comes before. */
export interface GatewayRole extends AsyncDisposable {
  start(): Promise<void>;
  /** Takes no new work and resolves when the work in progress has ended. */
  drain(): Promise<void>;
}
