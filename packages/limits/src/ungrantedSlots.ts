/** What an entry knows of an engine whose agent is unreachable and grants no slots. */
export interface UngrantedEngine {
  readonly slots: number;
  /** Entries that may use the engine without grants. */
  readonly entries: number;
  /** Requests that this entry has in progress at the engine. */
  readonly ownRequests: number;
  /** Uniform random number in [0, 1). */
  readonly draw: number;
}

/** Share of an engine's slots that all entries together use without grants. */
const UNGRANTED_SLOTS_SHARE = 0.5;

/**
 * Whether an entry may use one more slot without a grant.
 *
 * @remarks
 * Keeps an engine usable while its agent is down. There can be more entries than slots, so one slot
 * per entry would overload the engine: the fractional part of an entry's share is granted at random
 * with that probability.
 */
export function mayUseSlotWithoutGrant(engine: UngrantedEngine): boolean {
  const slotsPerEntry = (engine.slots * UNGRANTED_SLOTS_SHARE) / Math.max(1, engine.entries);
  const wholeSlots = Math.floor(slotsPerEntry);
  return engine.ownRequests < wholeSlots + (engine.draw < slotsPerEntry - wholeSlots ? 1 : 0);
}
