import type { EpochMilliseconds } from '@burdockrail/protocol/protocolLedger.js';

/** Number of most recent command stamps over which the median is taken. */
const MEDIAN_WINDOW_STAMPS = 15;

/** Clock of a ledger, derived from the stamps of its commands. */
export interface LedgerClock {
  readonly now: EpochMilliseconds;
  readonly stamps: readonly EpochMilliseconds[];
}

/** Clock before the first command. */
export const initialLedgerClock: LedgerClock = { now: 0, stamps: [] };

/**
 * Advances the clock by the stamp of one command.
 *
 * @remarks
 * The time is the median of the last stamps and never decreases. Otherwise one entry whose clock is
 * far ahead could make keys expire early, and their requests could run again.
 */
export function advanceLedgerClock(clock: LedgerClock, at: EpochMilliseconds): LedgerClock {
  const stamps = [...clock.stamps, at].slice(-MEDIAN_WINDOW_STAMPS);
  const ordered = stamps.toSorted((left, right) => left - right);
  const median = ordered[Math.floor((ordered.length - 1) / 2)] ?? at;
  return { now: Math.max(clock.now, median), stamps };
}
