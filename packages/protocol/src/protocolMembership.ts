import type { Address } from './protocolAddress.js';

/** Load of an upstream as last reported by its engine; it lags behind the actual load. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  /** Requests that the upstream can run concurrently without slowing down. */
  readonly capacity: number;
  /** Fraction of the prefix cache in use, from 0 to 1. */
  readonly cacheUse: number;
}

/** Weights version that an upstream serves. */
export interface ServedVersion {
  readonly model: string;
  readonly version: string;
  readonly digest: string;
  readonly adapters: readonly string[];
}

/** State of an agent and its upstream, sent to the registrars of its data centre. */
export interface Announcement {
  readonly agent: string;
  readonly incarnation: string;
  /** Increases with each announcement of an incarnation. */
  readonly sequence: number;
  readonly dataCentre: string;
  readonly region: string;
  readonly address: Address;
  readonly service: string;
  /** Registrar that forwards the agent's load; the other registrars forward only its state. */
  readonly loadRegistrar?: string;
  readonly state: 'present' | 'leaving';
  /** Absent while no weights are live, and for plain services. */
  readonly serving?: ServedVersion;
  /** True for plain services, and for engines whose weights are live. */
  readonly ready: boolean;
  readonly load?: LoadReport;
  /** Digests of the prompt prefixes that the engine has cached, by its cache events. */
  readonly prefixes: readonly string[];
  readonly rollout?: {
    readonly digest: string;
    readonly heldChunks: number;
    readonly chunks: number;
  };
}

/** Reply of a registrar to an announcement. */
export interface AnnouncementReply {
  /** Revision of the configuration in force at the registrar. */
  readonly revision: number;
}

/** Heartbeat that renews the agent's last announcement when nothing has changed. */
export interface AnnouncementRenewal {
  readonly sequence: number;
}

/** Reply of a registrar to a renewal; an unknown agent must send its announcement again. */
export interface AnnouncementRenewalReply {
  readonly known: boolean;
}

/** The frequently changing parts of an announcement. */
export interface LoadUpdate {
  readonly agent: string;
  readonly sequence: number;
  readonly load?: LoadReport;
  readonly heldChunks?: number;
  /** Prefixes that the engine has cached since the previous update. */
  readonly prefixes: readonly string[];
}

/** Changes that a registrar sends to another entry, numbered by the registrar's counter. */
export interface DirectoryUpdate {
  readonly registrar: string;
  readonly incarnation: string;
  /** Counter of the last change in this update. */
  readonly counter: number;
  /** Counter before the first change in this update; 0 for a full copy. */
  readonly since: number;
  readonly announcements: readonly Announcement[];
  /** Load changes of agents whose announcement the receiver already has. */
  readonly loads: readonly LoadUpdate[];
  readonly departed: readonly { readonly agent: string; readonly incarnation: string }[];
}

/** Heartbeat of a registrar that has no changes for the receiving entry. */
export interface RegistrarHeartbeat {
  readonly counter: number;
}
