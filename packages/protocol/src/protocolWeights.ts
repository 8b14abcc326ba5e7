/** SHA-256 in lower-case hexadecimal, as in the package `common`. */
type Digest = string;

/** Contents of one version of a model's weights or of an adapter. */
export interface WeightManifest {
  readonly model: string;
  readonly version: string;
  /** Digest of all bytes in order. */
  readonly digest: Digest;
  /** Count of all bytes. */
  readonly size: number;
  /** Size of every chunk but the last, in bytes. */
  readonly chunkSize: number;
  /** Digests of the chunks in order. */
  readonly chunks: readonly Digest[];
}

/** Asks an agent for a chunk by the digest of its bytes. */
export interface ChunkRequest {
  readonly chunk: Digest;
}

/**
 * Bytes of a chunk, unverified by the receiver.
 *
 * @remarks
 * An agent that does not hold the chunk answers with `ChunkNotHeld`, one whose upload queue is
 * full with `UploadsBusy`.
 */
export interface ChunkReply {
  readonly bytes: Uint8Array;
  /** Bytes that wait to be uploaded by the sender, this chunk not among them. */
  readonly queuedBytes: number;
}

/** Asks an agent which chunks of a version it holds, now and from now on. */
export interface ChunkWatch {
  readonly digest: Digest;
}

/** Chunks that became held, or at first all that are held. */
export interface ChunksHeld {
  readonly indices: readonly number[];
}

/** Asks an agent for a manifest that it knows. */
export interface ManifestRequest {
  readonly digest: Digest;
}

/** Asks an entry for the agents that take part in the rollout of a version. */
export interface MembersRequest {
  readonly services: readonly string[];
  readonly digest: Digest;
  /** Version of the members that the agent knows; a reply to the same version carries none. */
  readonly known: string | null;
}

/** Agents of one data centre: name, host, port, and whether it serves the version. */
export interface MembersGroup {
  readonly dataCentre: string;
  readonly region: string;
  readonly agents: readonly (readonly [string, string, number, boolean])[];
}

/** Members of a rollout as an entry knows them. */
export interface MembersReply {
  /** Changes when an agent comes, goes or restarts, and not when one serves another version. */
  readonly version: string;
  /** Absent when the agent knows this version. */
  readonly groups?: readonly MembersGroup[];
}

/** Asks the agent that gives turns for one in which to switch weights. */
export interface TurnRequest {
  readonly agent: string;
  /** Turns that may be out at the same time. */
  readonly slots: number;
}

declare module './protocolKinds.js' {
  interface PeerCalls {
    'weights.chunk': CallShape<ChunkRequest, ChunkReply>;
    'weights.members': CallShape<MembersRequest, MembersReply>;
    'weights.turn': CallShape<TurnRequest, { readonly granted: boolean }>;
    'weights.manifest': CallShape<ManifestRequest, WeightManifest | null>;
  }
  interface PeerNotifications {
    'weights.turn-done': { readonly agent: string };
  }
  interface PeerStreams {
    'weights.watch': StreamShape<ChunkWatch, ChunksHeld>;
  }
}
