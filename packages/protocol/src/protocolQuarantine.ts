/** Reports to another entry that an upstream died or was lost while it ran a request. */
export interface QuarantineReport {
  /** Digest of the request's method, path and body. */
  readonly content: string;
  /** Prefixes of the request's prompt, shortest first. */
  readonly parts: readonly string[];
  /** Incarnation of the upstream's agent. */
  readonly agent: string;
  /** True if the content was already suspect, so that the run had a grant. */
  readonly granted: boolean;
}

/** Asks the process that admits suspect requests for a grant to run one. */
export interface QuarantineAdmit {
  readonly content: string;
  readonly agent: string;
  /** Maximum duration of the run, in milliseconds. */
  readonly timeoutMilliseconds: number;
}

/** Answer to {@link QuarantineAdmit}. */
export type QuarantineAdmitReply =
  | { readonly kind: 'granted' }
  | { readonly kind: 'busy' }
  | { readonly kind: 'quarantined'; readonly retryAfterMilliseconds: number };

/** Returns the grant of a run that has ended. */
export interface QuarantineRelease {
  readonly content: string;
}

/** Reports to another entry that requests with suspected traits ran to completion. */
export interface QuarantineClear {
  /** Digests of contents, or prefixes of prompts. */
  readonly traits: readonly string[];
}
