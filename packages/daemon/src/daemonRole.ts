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

/** Resources that all roles of a process share. */
export interface DaemonContext {
  readonly settings: Settings;
  readonly identity: PeerIdentity;
  /** Address at which other processes reach this one. */
  readonly advertised: Address;
  readonly client: PeerClient;
  /** Bytes that this process has sent to others, by message family. */
  readonly traffic: TrafficMeter;
  readonly time: TimeSource;
  readonly random: SeededRandom;
  readonly log: EventLog;
  readonly actors: ActorSystemRef;
  readonly configuration: ConfigurationHolder;
}

/** A role that runs in a process; disposal stops it immediately, so drain it first. */
export interface DaemonRole extends AsyncDisposable {
  /** Handlers for messages from other processes; registered before the role starts. */
  readonly handlers: Partial<PeerHandlers>;
  /** Starts the role; resolves when it is ready. */
  start(): Promise<void>;
  /** Stops accepting work; resolves when the work in progress has ended. */
  drain(): Promise<void>;
  readonly groups: readonly GroupStatus[];
}

/** Creates a role; called only for roles that the settings enable. */
export type DaemonRoleFactory = (context: DaemonContext) => DaemonRole;
