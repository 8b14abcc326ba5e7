/** Bounds of one ledger's state. */
export interface LedgerBounds {
  /** Largest body of an answer that is kept, in bytes. */
  readonly answerBytes: number;
  /** Bodies kept over all keys, in bytes; the oldest are dropped first. */
  readonly totalAnswerBytes: number;
  /** Keys held at most; further ones are refused. */
  readonly keys: number;
  /** Time for which a key is held after its last change, in milliseconds. */
  readonly retentionMilliseconds: number;
  /** Expired keys dropped by one command at most. */
  readonly sweepsPerCommand: number;
  /**
   * How much later than the stamp of a decline a request must have arrived to be granted its claim,
   * in milliseconds: the largest difference between two entries' clocks and the time within which a
   * decline is told.
   */
  readonly declineMarginMilliseconds: number;
}

/** Bounds of a ledger in production. */
export const defaultLedgerBounds: LedgerBounds = {
  answerBytes: 64 * 1024,
  totalAnswerBytes: 32 * 1024 * 1024,
  keys: 200_000,
  retentionMilliseconds: 24 * 60 * 60 * 1_000,
  sweepsPerCommand: 4,
  declineMarginMilliseconds: 1_500,
};
