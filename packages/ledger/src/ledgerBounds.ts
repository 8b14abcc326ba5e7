/** Bounds of one ledger's state. */
export interface LedgerBounds {
  /** Largest answer body that is kept, in bytes. */
  readonly maximumAnswerBytes: number;
  /** Total size of kept bodies over all keys, in bytes; the oldest are evicted first. */
  readonly maximumTotalAnswerBytes: number;
  /** Number of keys after which further ones are refused. */
  readonly maximumKeys: number;
  /** Time for which a key is kept after its last change, in milliseconds. */
  readonly retentionMilliseconds: number;
  /** Largest number of expired keys that one command removes. */
  readonly maximumExpirationsPerCommand: number;
  /**
   * Time after the stamp of a decline during which an arriving request is still declined, in
   * milliseconds: the largest clock skew between two entries plus the time within which a caller is
   * told of the decline.
   */
  readonly declineMarginMilliseconds: number;
}

/** Bounds for production use. */
export const defaultLedgerBounds: LedgerBounds = {
  maximumAnswerBytes: 64 * 1024,
  maximumTotalAnswerBytes: 32 * 1024 * 1024,
  maximumKeys: 200_000,
  retentionMilliseconds: 24 * 60 * 60 * 1_000,
  maximumExpirationsPerCommand: 4,
  declineMarginMilliseconds: 1_500,
};
