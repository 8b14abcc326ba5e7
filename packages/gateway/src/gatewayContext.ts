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
import type { MachineShares } from './machineShares.js';

/** Dependencies shared by all roles of a gateway process. */
export interface GatewayContext {
  readonly settings: GatewaySettings;
  readonly identity: PeerIdentity;
  readonly client: PeerClient;
  /** Counts the bytes sent to other processes, by message family. */
  readonly traffic: TrafficMeter;
  readonly time: TimeSource;
  readonly random: SeededRandom;
  readonly log: EventLog;
  readonly metrics: MetricRegistry;
  readonly actors: ActorSystemRef;
  readonly dialect: Dialect;
  /** What the servers of the process may take of its machine. */
  readonly shares: MachineShares;
  /** Rereads the seeds from the settings file; `null` when it cannot be read. */
  readonly readSeeds: () => readonly Address[] | null;
}

/** A role of a process. Disposal stops it at once; `drain` is called first. */
export interface GatewayRole extends AsyncDisposable {
  start(): Promise<void>;
  /** Stops accepting work; resolves when the work in progress has ended. */
  drain(): Promise<void>;
}
