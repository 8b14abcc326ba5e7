import type { EpochMilliseconds } from '@burdockrail/protocol/protocolLedger.js';

/** Stamps of commands over which the median is taken. */
const STAMPS_REMEMBERED = 15;

/** Time of a ledger as its commands tell it. */
export interface LedgerClock {
  readonly now: EpochMilliseconds;
  readonly stamps: readonly EpochMilliseconds[];
}

/** The clock before any command. */
export const initialLedgerClock: LedgerClock = { now: 0, stamps: [] };

/**
 * Takes the stamp of one more command.
 *
 * @remarks
 * The time is the median of the last stamps and never goes back. One entry with a clock far ahead
 * must not make the ledger forget keys that could then run again.
 */
export function advanceLedgerClock(clock: LedgerClock, at: EpochMilliseconds): LedgerClock {
  const stamps = [...clock.stamps, at].slice(-STAMPS_REMEMBERED);
  const ordered = stamps.toSorted((left, right) => left - right);
  const median = ordered[Math.floor((ordered.length - 1) / 2)] ?? at;
  return { now: Math.max(clock.now, median), stamps };
}
