/** Whether an upstream accepts new requests, as the upstream itself reports. */
export type UpstreamState = 'ready' | 'draining' | 'gone';

/** A model version that an engine has loaded completely. */
export interface HeldModel {
  readonly model: string;
  readonly version: number;
}

/**
 * What the agent of an engine knows of the engine's loads, after a number of orders.
 *
 * @remarks
 * A load in neither list is in doubt: its chunks may have been spoilt when the engine took them.
 */
export interface LoadVerdicts {
  /** Start of the engine's incarnation in Unix milliseconds. */
  readonly startedAt: number;
  /** Orders that the incarnation had accepted. */
  readonly orders: number;
  readonly sound: readonly HeldModel[];
  /** Loads that can't be shown to be sound any more. */
  readonly unsound: readonly HeldModel[];
}

/** State that an upstream reports by its own heartbeats, not through an agent's announcement. */
export interface UpstreamRecord {
  /** Unique to an incarnation of an upstream, unless the upstream keeps its id over restarts. */
  readonly id: string;
  readonly service: string;
  /** `host:port` on which it accepts requests. */
  readonly address: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly state: UpstreamState;
  /** Start of the incarnation in Unix milliseconds, by the upstream's clock. */
  readonly startedAt: number;
  /** Number of the heartbeat within the incarnation. */
  readonly sequence: number;
  /** Models of which it has loaded all layers. */
  readonly models: readonly HeldModel[];
  /** Verdicts of its agent on these loads; never from the upstream itself. */
  readonly loads?: LoadVerdicts;
}

/** One incarnation of an upstream; what it says of itself ends with its restart. */
export type UpstreamIncarnation = Pick<UpstreamRecord, 'id' | 'startedAt'>;

/**
 * An upstream takes no new requests, as it announced itself.
 *
 * @remarks
 * It ends what the incarnation, or an earlier one, said before: a heartbeat up to `sequence` for an
 * upstream that drains, all heartbeats for one that is gone.
 */
export interface UpstreamDeparture extends Pick<UpstreamRecord, 'id' | 'startedAt' | 'sequence'> {
  readonly state: Exclude<UpstreamState, 'ready'>;
}

/** A departure as one process relays it to another. */
export interface RelayedDeparture {
  readonly departure: UpstreamDeparture;
  /** Time since a control process received it, in milliseconds. */
  readonly ageMilliseconds: number;
}

/** Hands departures to another control process, which answers once they are on its disk. */
export interface DepartureHandover {
  readonly departures: readonly RelayedDeparture[];
}

/** An upstream record as one process relays it to another. */
export interface RelayedUpstreamRecord {
  readonly record: UpstreamRecord;
  /** Time since a control process last received a heartbeat of the upstream, in milliseconds. */
  readonly ageMilliseconds: number;
  /** True if no heartbeat arrived within the allowed time. */
  readonly silent: boolean;
}

/** Version of a model's weights that operators last ordered to be served. */
export interface DesiredWeights {
  readonly model: string;
  readonly version: number;
  /** Time since the sending process learned of the order, in milliseconds. */
  readonly ageMilliseconds: number;
}

/** Location of a control process. */
export interface ControlPeer {
  /** `host:port` of its internal interface. */
  readonly address: string;
  readonly dataCentre: string;
}

/** Long poll of a control process for changes; answered at a change or when the wait ends. */
export interface DirectoryWatch {
  /** Incarnation of the control process that issued `revision`; empty on the first call. */
  readonly control: string;
  readonly revision: number;
  /** Version of the caller's routing configuration; 0 for none. */
  readonly configurationVersion: number;
  /** Maximum time before the answer, in milliseconds. */
  readonly waitMilliseconds: number;
  /** True if the caller is a control process, which also needs heartbeats without changes. */
  readonly relay: boolean;
  /** Internal address of the caller if it is a control process or an agent. */
  readonly caller: string;
  readonly role: 'entry' | 'control' | 'agent';
  /** Loaded models that an agent read from its engine; newer than the engine's own heartbeat. */
  readonly engine?: {
    readonly id: string;
    readonly models: readonly HeldModel[];
    readonly loads?: LoadVerdicts;
  };
  /** Revision of the findings that the caller has received from this control process. */
  readonly findingRevision: number;
  /** What the caller found out since its last call. */
  readonly findings: readonly TraitFinding[];
}

/** What one entry found out about requests that crash upstreams. */
export type TraitFinding = CrashSighting | TraitVerdict;

/** An upstream's crash while it ran a request. */
export interface CrashSighting {
  readonly kind: 'crash';
  /** Digest of the request's caller, method, path and body. */
  readonly content: string;
  /** Shared parts of its prompt, in order, without those known to be sound. */
  readonly parts: readonly string[];
  readonly upstream: string;
  /** Start of the crashed incarnation in Unix milliseconds. */
  readonly startedAt: number;
}

/** Verdict on a trait: a content digest or a shared part. */
export interface TraitVerdict {
  /** `sound` if a request with the trait ran to completion. */
  readonly kind: 'quarantine' | 'sound';
  readonly trait: string;
}

/** Answer to {@link DirectoryWatch}. */
export interface DirectoryWatchReply {
  /** Incarnation of the control process that answers. */
  readonly control: string;
  readonly revision: number;
  /** True if `records` holds all records of the process, not only changes. */
  readonly complete: boolean;
  /**
   * Time for which the process has been receiving heartbeats, its own and those that a majority of
   * the group hears, in milliseconds; it starts anew after each loss of contact.
   */
  readonly informedMilliseconds: number;
  readonly records: readonly RelayedUpstreamRecord[];
  /** Departures that the caller has not yet received, of upstreams with and without a record. */
  readonly departures: readonly RelayedDeparture[];
  /** The configuration if the caller has another version, otherwise `null`. */
  readonly configuration: CompressedConfiguration | null;
  readonly weights: readonly DesiredWeights[];
  /** Age of the process's copy of the committed state, in milliseconds; `null` if unknown. */
  readonly confirmedAgeMilliseconds: number | null;
  readonly controls: readonly ControlPeer[];
  /** Number of entries that watch any control process, as known to this one. */
  readonly entries: number;
  /**
   * Number of equal shares of what all entries may spend together, of which each entry that watches
   * this process holds one; `null` if this process has nothing to divide.
   */
  readonly entryShares: number | null;
  /** Place of the caller among these entries, from 0; 0 for a caller that is no entry. */
  readonly entryIndex: number;
  /** Revision of the newest finding of this process; it counts from the process's start. */
  readonly findingRevision: number;
  /** Findings that the caller has not yet received. */
  readonly findings: readonly TraitFinding[];
}

/** A routing configuration as sent by operators. */
export interface CompressedConfiguration {
  readonly version: number;
  /** The document, compressed with raw deflate. */
  readonly document: Uint8Array;
}

/**
 * Asks an agent for a request slot at its engine.
 *
 * @remarks
 * Messages, metrics and the event `placeRefused` call a slot a place.
 */
export interface SlotClaim {
  readonly requestId: string;
  readonly model: string;
  readonly promptTokens: number;
  /** Expected size of the answer; 0 when unknown. */
  readonly answerTokens: number;
  /**
   * Part of the latency objective left for waiting and for other work of the engine, in
   * milliseconds.
   */
  readonly slackMilliseconds: number;
  /** False if the claim must be answered immediately. */
  readonly mayWait: boolean;
  /** Grant only while fewer slots than this are taken; `null` for no limit. */
  readonly mostTaken: number | null;
  /** Longest prefill backlog at which to grant, in milliseconds; `null` for no limit. */
  readonly mostReadingMilliseconds: number | null;
  /** Time after which the slot is released automatically, in milliseconds. */
  readonly holdMilliseconds: number;
  /** Claims with a smaller rank are granted first. */
  readonly rank: number;
}

/** Answer to {@link SlotClaim}. */
export interface SlotReply {
  readonly kind: 'granted' | 'full' | 'unloaded';
  readonly place: number;
  /** Id of the engine that the slot belongs to. */
  readonly engine: string;
  readonly version: number;
  /** Taken slots and waiting claims after this answer. */
  readonly taken: number;
  readonly waiting: number;
  readonly places: number;
  /** Prefill backlog of the engine, in milliseconds. */
  readonly readingMilliseconds: number;
  /** Predicted time until a slot is free, in milliseconds. */
  readonly freeInMilliseconds: number;
  /** Limit that the agent keeps for the engine, in requests per second; `null` for none. */
  readonly requestsPerSecond: number | null;
}

/** Tells an agent that its engine turned a request away and wants no others from that entry. */
export interface EngineRest {
  /** Id of the engine that answered. */
  readonly engine: string;
  /** Time for which it wants no requests, in milliseconds. */
  readonly restMilliseconds: number;
}

/** Tells an agent what the answer of its engine said about the engine's limit. */
export interface EngineLimit {
  /** Id of the engine that answered. */
  readonly engine: string;
  /** `null` if the answer named no limit. */
  readonly requestsPerSecond: number | null;
}

/** Releases a slot. */
export interface SlotRelease {
  readonly place: number;
}

/** Cancels a claim that got no answer, and releases the slot if it was granted. */
export interface SlotWithdrawal {
  readonly requestId: string;
}

/** Asks an agent which chunks of a version it holds. */
export interface ChunkList {
  readonly model: string;
  readonly version: number;
}

/** Answer to {@link ChunkList}. */
export interface ChunkListReply {
  /** Bitmap of held chunks, starting at the lowest bit of the first byte. */
  readonly held: Uint8Array;
  /** Time until the agent's link can send another chunk, in milliseconds. */
  readonly queuedMilliseconds: number;
}

/** Asks an agent for a verified chunk, streamed in parts; no parts if the agent lacks it. */
export interface ChunkRead {
  readonly model: string;
  readonly version: number;
  readonly chunk: number;
}
