import type { Address } from './protocolAddress.js';

/** Load of an upstream as its engine reported it last; it lags behind the truth. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  /** Requests that the upstream runs at the same time without loss of pace. */
  readonly capacity: number;
  /** Share of the prefix cache in use, 0 to 1. */
  readonly cacheUse: number;
}

/** Weights that an upstream serves. */
export interface ServedVersion {
  readonly model: string;
  readonly version: string;
  readonly digest: string;
  readonly adapters: readonly string[];
}

/** Presence of an agent and its upstream, sent to the registrars of its data centre. */
export interface Announcement {
  readonly agent: string;
  readonly incarnation: string;
  /** Grows with each announcement of one incarnation. */
  readonly sequence: number;
  readonly dataCentre: string;
  readonly region: string;
  readonly address: Address;
  readonly service: string;
  /** Registrar that forwards the agent's load reports; the others forward only its state. */
  readonly loadRegistrar?: string;
  readonly state: 'present' | 'leaving';
  /** Absent while no weights are live, and for plain services. */
  readonly serving?: ServedVersion;
  /** True for plain services, and for engines whose weights are live. */
  readonly ready: boolean;
  readonly load?: LoadReport;
  /** Digests of prompt prefixes that the engine's cache events name as held. */
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

/** Confirms the last announcement of the agent at the other end, where nothing has changed. */
export interface Renewal {
  readonly sequence: number;
}

/** Reply of a registrar to a renewal; an agent that is not known sends its announcement again. */
export interface RenewalReply {
  readonly known: boolean;
}

/** The parts of an announcement that change all the time. */
export interface LoadUpdate {
  readonly agent: string;
  readonly sequence: number;
  readonly load?: LoadReport;
  readonly heldChunks?: number;
  /** Prefixes that the engine has stored since the update before. */
  readonly prefixes: readonly string[];
}

/** A registrar's changes for another entry, in the order of its own counter. */
export interface DirectoryUpdate {
  readonly registrar: string;
  readonly incarnation: string;
  /** Counter of the last change that this update holds. */
  readonly counter: number;
  /** Counter before the first change that this update holds; 0 for a full copy. */
  readonly since: number;
  readonly announcements: readonly Announcement[];
  /** Changed load of agents whose announcement is known to the receiver. */
  readonly loads: readonly LoadUpdate[];
  readonly departed: readonly { readonly agent: string; readonly incarnation: string }[];
}

/** Sign of life of a registrar that has nothing new for the entry at the other end. */
export interface RegistrarBeat {
  readonly counter: number;
}
