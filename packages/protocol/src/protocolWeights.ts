/** SHA-256 in lower-case hexadecimal, as in package `common`. */
type Digest = string;

/** Digests and sizes of one version of a model's weights or of an adapter. */
export interface WeightManifest {
  readonly model: string;
  readonly version: string;
  /** Digest of the complete contents. */
  readonly digest: Digest;
  /** Total size, in bytes. */
  readonly size: number;
  /** Size of every chunk except the last, in bytes. */
  readonly chunkSize: number;
  /** Digests of the chunks in order. */
  readonly chunks: readonly Digest[];
}

/** Asks an agent for a chunk by its digest. */
export interface ChunkRequest {
  readonly chunk: Digest;
}

/**
 * Bytes of a chunk, which the receiver has yet to verify.
 *
 * @remarks
 * An agent that does not hold the chunk answers with `ChunkNotHeld`; an agent whose upload queue
 * is full answers with `UploadsBusy`.
 */
export interface ChunkReply {
  readonly bytes: Uint8Array;
  /** Bytes queued for upload at the sender, without this chunk. */
  readonly queuedBytes: number;
}

/** Subscribes to the chunks of a version that an agent holds, now and in the future. */
export interface ChunkWatch {
  readonly digest: Digest;
}

/** Newly held chunks; the first item of the stream lists all held chunks. */
export interface ChunksHeld {
  readonly indices: readonly number[];
}

/** Asks an agent for a manifest. */
export interface ManifestRequest {
  readonly digest: Digest;
}

/** Asks an entry for the agents that take part in the rollout of a version. */
export interface RolloutMembersRequest {
  readonly services: readonly string[];
  readonly digest: Digest;
  /** Member list version that the agent has; `null` for none. */
  readonly known: string | null;
}

/** Agents of one data centre: name, host, port, and whether it serves the version. */
export interface RolloutMembersOfDataCentre {
  readonly dataCentre: string;
  readonly region: string;
  readonly agents: readonly (readonly [string, string, number, boolean])[];
}

/** Members of a rollout as known to an entry. */
export interface RolloutMembersReply {
  /** Changes when an agent joins, leaves or restarts, but not when its served version changes. */
  readonly version: string;
  /** Absent if the agent already has this version. */
  readonly groups?: readonly RolloutMembersOfDataCentre[];
}

/** Asks the agent that coordinates a rollout for a turn, a permit to switch weights. */
export interface SwitchTurnRequest {
  readonly agent: string;
  /** Maximum number of turns granted at the same time. */
  readonly slots: number;
}

declare module './protocolKinds.js' {
  interface PeerCalls {
    'weights.chunk': CallShape<ChunkRequest, ChunkReply>;
    'weights.members': CallShape<RolloutMembersRequest, RolloutMembersReply>;
    'weights.turn': CallShape<SwitchTurnRequest, { readonly granted: boolean }>;
    'weights.manifest': CallShape<ManifestRequest, WeightManifest | null>;
  }
  interface PeerNotifications {
    'weights.turn-done': { readonly agent: string };
  }
  interface PeerStreams {
    'weights.watch': StreamShape<ChunkWatch, ChunksHeld>;
  }
}
