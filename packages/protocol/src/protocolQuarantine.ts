/** Tells another entry of an upstream that died or was lost while it ran a content. */
export interface QuarantineReport {
  /** Digest of the request's method, path and body. */
  readonly content: string;
  readonly agent: string;
  /** True when the run had a grant because the content was suspect before. */
  readonly granted: boolean;
}

/** Asks the owner of suspects for the right to run one. */
export interface QuarantineAdmit {
  readonly content: string;
  readonly agent: string;
  /** Longest time that the run may take, in milliseconds. */
  readonly timeoutMilliseconds: number;
}

/** Answer to {@link QuarantineAdmit}. */
export type QuarantineAdmitReply =
  | { readonly kind: 'granted' }
  | { readonly kind: 'busy' }
  | { readonly kind: 'quarantined'; readonly retryAfterMilliseconds: number };

/** Tells the owner that a granted run has ended. */
export interface QuarantineRelease {
  readonly content: string;
}

/** Tells another entry that a suspect content ran to its end. */
export interface QuarantineClear {
  readonly content: string;
}
