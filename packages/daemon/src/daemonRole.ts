import type { SeededRandom } from '@burdockrail/common/seededRandom.js';
import type { TimeSource } from '@burdockrail/common/timeSource.js';
import type { Address, PeerIdentity } from '@burdockrail/protocol/protocolAddress.js';
import type { GroupStatus } from '@burdockrail/protocol/protocolConfiguration.js';
import type { Settings } from '@burdockrail/settings/settingsSchema.js';
import type { EventLog } from '@burdockrail/telemetry/eventLog.js';
import type { PeerClient } from '@burdockrail/transport/peerClient.js';
import type { PeerHandlers } from '@burdockrail/transport/peerHandlers.js';
import type { TrafficMeter } from '@burdockrail/transport/trafficMeter.js';
import type { ActorSystemRef } from 'nact';
import type { ConfigurationHolder } from './configurationHolder.js';

/** What all roles of one process share. */
export interface DaemonContext {
  readonly settings: Settings;
  readonly identity: PeerIdentity;
  /** Address that other processes reach this one at. */
  readonly advertised: Address;
  readonly client: PeerClient;
  /** Bytes that this process has sent to others, by family of message. */
  readonly traffic: TrafficMeter;
  readonly time: TimeSource;
  readonly random: SeededRandom;
  readonly log: EventLog;
  readonly actors: ActorSystemRef;
  readonly configuration: ConfigurationHolder;
}

/** A role that runs in a process. Disposal ends it at once; draining comes before. */
export interface DaemonRole extends AsyncDisposable {
  /** Handlers for messages of other processes; in place before the role starts. */
  readonly handlers: Partial<PeerHandlers>;
  /** Begins work; resolves when the role is ready. */
  start(): Promise<void>;
  /** Takes no new work and resolves when the work in progress has ended. */
  drain(): Promise<void>;
  readonly groups: readonly GroupStatus[];
}

/** Creates a role; a role that the settings do not ask for is not created. */
export type DaemonRoleFactory = (context: DaemonContext) => DaemonRole;
