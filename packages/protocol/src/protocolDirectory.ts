/** Whether an upstream takes new requests, by its own word. */
export type UpstreamState = 'ready' | 'draining' | 'gone';

/** A model that an engine holds in full. */
export interface HeldModel {
  readonly model: string;
  readonly version: number;
}

/** What an upstream without an agent of the system's interface says of itself by heartbeat. */
export interface UpstreamRecord {
  /** Name of one incarnation of an upstream, unless the upstream keeps its name over restarts. */
  readonly id: string;
  readonly service: string;
  /** `host:port` that it takes requests at. */
  readonly address: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly state: UpstreamState;
  /** Start of the incarnation in Unix milliseconds on the upstream's clock. */
  readonly startedAt: number;
  /** Counts the heartbeats of the incarnation. */
  readonly sequence: number;
  /** Models whose layers it holds in full. */
  readonly models: readonly HeldModel[];
}

/** A record as one process passes it on to another. */
export interface SharedRecord {
  readonly record: UpstreamRecord;
  /** Time since a control process last heard of the upstream, in milliseconds. */
  readonly ageMilliseconds: number;
  /** True when heartbeats have stayed out for longer than allowed. */
  readonly silent: boolean;
}

/** Weights that operators named last for a model. */
export interface NamedWeights {
  readonly model: string;
  readonly version: number;
  /** Time since the naming was known to this process, in milliseconds. */
  readonly ageMilliseconds: number;
}

/** A control process and where it runs. */
export interface ControlPeer {
  /** `host:port` of its internal interface. */
  readonly address: string;
  readonly dataCentre: string;
}

/** Asks a control process for what changed; it answers at a change or when the wait ends. */
export interface DirectoryWatch {
  /** Control process that the known revision comes from; empty at the first call. */
  readonly control: string;
  readonly revision: number;
  /** Version of the routing configuration that the caller holds; 0 for none. */
  readonly configurationVersion: number;
  /** Longest time that the answer may be held back, in milliseconds. */
  readonly waitMilliseconds: number;
  /** True when the caller is a control process, which also needs heartbeats that change nothing. */
  readonly relay: boolean;
  /** Internal address of the caller, if it is a control process or an agent. */
  readonly caller: string;
  readonly role: 'entry' | 'control' | 'agent';
  /** What an agent found its engine to hold, newer than the engine's own heartbeat. */
  readonly engine?: { readonly id: string; readonly models: readonly HeldModel[] };
  /** Crash sightings of this control process that the caller knows, counted from its start. */
  readonly crashRevision: number;
  /** Contents that the caller saw crash upstreams since its last call. */
  readonly crashes: readonly CrashSighting[];
}

/** An upstream that ended while it ran a content. */
export interface CrashSighting {
  /** Digest of caller, method, path and body. */
  readonly content: string;
  readonly upstream: string;
}

/** Answer to {@link DirectoryWatch}. */
export interface DirectoryUpdateSet {
  /** Incarnation of the control process that answers. */
  readonly control: string;
  readonly revision: number;
  /** True when the records are all that the process holds. */
  readonly complete: boolean;
  /** Time for which the process has taken heartbeats, in milliseconds. */
  readonly upMilliseconds: number;
  readonly records: readonly SharedRecord[];
  /** The configuration, if the caller holds another version. */
  readonly configuration: PackedConfiguration | null;
  readonly weights: readonly NamedWeights[];
  /** Age of what this process knows of committed state, in milliseconds; `null` if unknown. */
  readonly confirmedAgeMilliseconds: number | null;
  readonly controls: readonly ControlPeer[];
  /** Entries that watch any control process, as far as this one knows. */
  readonly entries: number;
  /** Crash sightings that this process has learned of, counted from its start. */
  readonly crashRevision: number;
  /** Sightings that the caller did not know. */
  readonly crashes: readonly CrashSighting[];
}

/** A routing configuration as operators sent it. */
export interface PackedConfiguration {
  readonly version: number;
  /** The document, compressed with raw deflate. */
  readonly document: Uint8Array;
}

/** Asks an agent for a place at its engine. */
export interface PlaceClaim {
  readonly requestId: string;
  readonly model: string;
  readonly promptTokens: number;
  /** Expected size of the answer; 0 when unknown. */
  readonly answerTokens: number;
  /** Time of the objective left for waiting and for the engine's other work, in milliseconds. */
  readonly slackMilliseconds: number;
  /** False for a claim that wants its answer at once. */
  readonly mayWait: boolean;
  /** Places that may be taken already; `null` for all. */
  readonly mostTaken: number | null;
  /** Prompts that may be ahead at the engine, in milliseconds of reading; `null` for any. */
  readonly mostReadingMilliseconds: number | null;
  /** Longest time that the place is held, in milliseconds. */
  readonly holdMilliseconds: number;
  /** Smaller values go first. */
  readonly rank: number;
}

/** Answer to {@link PlaceClaim}. */
export interface PlaceReply {
  readonly kind: 'granted' | 'full' | 'unloaded';
  readonly place: number;
  /** Id of the engine that the place is at. */
  readonly engine: string;
  readonly version: number;
  /** Taken places and waiting claims after this answer. */
  readonly taken: number;
  readonly waiting: number;
  readonly places: number;
  /** Prompts ahead at the engine, in milliseconds of reading. */
  readonly readingMilliseconds: number;
  /** Predicted time until a place is free, in milliseconds. */
  readonly freeInMilliseconds: number;
}

/** Gives a place back. */
export interface PlaceRelease {
  readonly place: number;
}

/** Takes back a claim whose answer did not come, and the place if it was granted. */
export interface PlaceWithdrawal {
  readonly requestId: string;
}

/** Asks an agent which chunks of a version it holds. */
export interface ChunkList {
  readonly model: string;
  readonly version: number;
}

/** Answer to {@link ChunkList}. */
export interface ChunkListReply {
  /** One bit for each chunk, the lowest bit of the first byte first. */
  readonly held: Uint8Array;
  /** Time until the agent's link is free for another chunk, in milliseconds. */
  readonly queuedMilliseconds: number;
}

/** Asks an agent for a verified chunk of weights, which comes in parts; none when it is not held. */
export interface ChunkRead {
  readonly model: string;
  readonly version: number;
  readonly chunk: number;
}
